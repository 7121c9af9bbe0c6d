#include <doctest/doctest.h>

#include <algorithm>

#include "fmt/format.h"
#include "tests/support/platform_fixture.h"

// Backend servers that state in their responses how many requests per second they accept from all
// nodes together. Within any 4 s they may get one and a half times that many and 5 more.

namespace damaskroute {
namespace {

using platform::ServerMode;
using std::chrono::seconds;

constexpr seconds kWindow{4};

// Greatest number of arrivals within any window.
std::size_t MaxWithinWindow(const std::vector<platform::ArrivedRequest>& arrivals) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    auto last = std::find_if(first, arrivals.end(), [&](const auto& request) {
      return request.at >= first->at + kWindow;
    });
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

std::size_t MaxAllowed(double per_second) {
  return static_cast<std::size_t>(1.5 * per_second * static_cast<double>(kWindow.count()) + 5);
}

bool HasRateLimit(PlatformFixture& w, const std::string& id) {
  return w.ReadForwardingState([&](const ForwardingState& state) {
    auto server = state.backends().Find(id);
    return server && server->rate_limit.rate().has_value();
  });
}

TEST_CASE("a server that states a rate limit does not get more requests than it allows") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) w.Get("/one/x", fmt::format("id-{}", i));
  CHECK(limited.arrivals().size() > 1);
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
}

TEST_CASE("requests beyond a server's rate go to the other servers") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk", "a");
  auto& other = w.AddServer("i-2", "desk", "b");
  REQUIRE(w.StartServing(2));
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
  CHECK(other.runs().size() > 40);
}

TEST_CASE("a request for which no server has calls left is refused with the time to return") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetRateLimit("2");
  CHECK(w.Get("/act/x", "id-1").status == 200);
  std::size_t refused = 0;
  for (int i = 0; i < 5; ++i) {
    auto response = w.Get("/act/x", fmt::format("id-1{}", i));
    if (response.status != 503) continue;
    ++refused;
    CHECK(std::stod(response["Retry-After"]) > 0);
  }
  CHECK(refused > 0);
  CHECK(limited.runs().size() + refused == 6);
}

// The rate is in a rejection, and the calls that follow must count as well.
TEST_CASE("a server that sheds requests and states a rate limit gets no more than that") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetMode(ServerMode::kShed);
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) w.Get("/one/x", fmt::format("id-{}", i));
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
}

// Only the response to an earlier request carries the header.
TEST_CASE("a rate limit in a late answer to another request counts") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetMode(ServerMode::kStaleAnswer);
  limited.SetRateLimit("0.5");
  w.Get("/one/x");
  CHECK(HasRateLimit(w, "i-1"));
}

TEST_CASE("a server whose responses state no rate limit any more has none") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetRateLimit("20");
  CHECK(w.Get("/one/x").status == 200);
  CHECK(HasRateLimit(w, "i-1"));
  limited.SetRateLimit("");
  CHECK(PlatformFixture::Await([&] {
    w.Get("/one/x");
    return !HasRateLimit(w, "i-1");
  }));
  for (int i = 0; i < 30; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
}

TEST_CASE("an invalid rate limit neither begins nor ends a limit") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  for (const char* text : {"many", "-3", "nan", "1 2"}) {
    CAPTURE(text);
    limited.SetRateLimit(text);
    CHECK(w.Get("/one/x").status == 200);
    CHECK_FALSE(HasRateLimit(w, "i-1"));
  }
  limited.SetRateLimit("1000");
  CHECK(w.Get("/one/x").status == 200);
  limited.SetRateLimit("many");
  CHECK(w.Get("/one/x").status == 200);
  CHECK(HasRateLimit(w, "i-1"));
}

// The entry expires while the store is down or the server cannot reach it, and comes back.
TEST_CASE("a rate limit and a backoff outlast the server's entry") {
  PlatformFixture w;
  auto& server = w.AddServer("i-1", "desk");
  auto& busy = w.AddServer("i-2", "busy");
  REQUIRE(w.StartServing(2));
  server.SetRateLimit("0.5");
  busy.SetMode(ServerMode::kBackoff);
  busy.SetRetryAfter("3600");
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2, 0.6, "busy", "busy"));
  REQUIRE(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
  CHECK(w.Get("/one/x").status == 200);
  CHECK(w.Get("/busy/x").status == 503);
  CHECK(busy.backoff_responses() == 1);
  for (const char* id : {"i-1", "i-2"}) w.store.Remove(platform::kServerPrefix + std::string(id));
  REQUIRE(w.AwaitServers(0));
  w.store.Write(std::string(platform::kServerPrefix) + "i-1", server.Entry("desk", "a"));
  w.store.Write(std::string(platform::kServerPrefix) + "i-2", busy.Entry("busy", "a"));
  REQUIRE(w.AwaitServers(2));
  CHECK(HasRateLimit(w, "i-1"));
  for (int i = 0; i < 30; ++i) {
    w.Get("/one/x", fmt::format("id-{}", i));
    CHECK(w.Get("/busy/x", fmt::format("id-2{}", i)).status == 503);
  }
  CHECK(MaxWithinWindow(server.arrivals()) <= MaxAllowed(0.5));
  CHECK(busy.backoff_responses() == 1);
}

}  // namespace
}  // namespace damaskroute
