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

bool HasRateLimit(PlatformFixture& fixture, const std::string& id) {
  return fixture.ReadForwardingState([&](const ForwardingState& state) {
    auto server = state.backends().Find(id);
    return server && server->rate_limit.rate().has_value();
  });
}

// A node with one server, for which the routes `/one/` and `/act/` have no alternative.
struct OneServer : PlatformFixture {
  OneServer() { REQUIRE(StartServing(1)); }

  Server& limited = AddServer("i-1", "desk");
};

TEST_CASE("a server that states a rate limit does not get more requests than it allows") {
  OneServer fixture;
  auto& limited = fixture.limited;
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) fixture.Get("/one/x", fmt::format("id-{}", i));
  CHECK(limited.arrivals().size() > 1);
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
}

TEST_CASE("requests beyond a server's rate go to the other servers") {
  PlatformFixture fixture;
  auto& limited = fixture.AddServer("i-1", "desk", "a");
  auto& other = fixture.AddServer("i-2", "desk", "b");
  REQUIRE(fixture.StartServing(2));
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) CHECK(fixture.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
  CHECK(other.runs().size() > 40);
}

TEST_CASE("a request for which no server has calls left is refused with the time to return") {
  OneServer fixture;
  auto& limited = fixture.limited;
  limited.SetRateLimit("2");
  CHECK(fixture.Get("/act/x", "id-1").status == 200);
  std::size_t refused = 0;
  for (int i = 0; i < 5; ++i) {
    auto response = fixture.Get("/act/x", fmt::format("id-1{}", i));
    if (response.status != 503) continue;
    ++refused;
    CHECK(std::stod(response["Retry-After"]) > 0);
  }
  CHECK(refused > 0);
  CHECK(limited.runs().size() + refused == 6);
}

// The rate is in a rejection, and the calls that follow must count as well.
TEST_CASE("a server that sheds requests and states a rate limit gets no more than that") {
  OneServer fixture;
  auto& limited = fixture.limited;
  limited.SetMode(ServerMode::kShed);
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) fixture.Get("/one/x", fmt::format("id-{}", i));
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
}

// Only the response to an earlier request carries the header.
TEST_CASE("a rate limit in a late answer to another request counts") {
  OneServer fixture;
  auto& limited = fixture.limited;
  limited.SetMode(ServerMode::kStaleAnswer);
  limited.SetRateLimit("0.5");
  fixture.Get("/one/x");
  CHECK(HasRateLimit(fixture, "i-1"));
}

TEST_CASE("a server whose responses state no rate limit any more has none") {
  OneServer fixture;
  auto& limited = fixture.limited;
  limited.SetRateLimit("20");
  CHECK(fixture.Get("/one/x").status == 200);
  CHECK(HasRateLimit(fixture, "i-1"));
  limited.SetRateLimit("");
  CHECK(PlatformFixture::Await([&] {
    fixture.Get("/one/x");
    return !HasRateLimit(fixture, "i-1");
  }));
  for (int i = 0; i < 30; ++i) CHECK(fixture.Get("/one/x", fmt::format("id-{}", i)).status == 200);
}

TEST_CASE("an invalid rate limit neither begins nor ends a limit") {
  OneServer fixture;
  auto& limited = fixture.limited;
  for (const char* text : {"many", "-3", "nan", "1 2", "0x"}) {
    CAPTURE(text);
    limited.SetRateLimit(text);
    CHECK(fixture.Get("/one/x").status == 200);
    CHECK_FALSE(HasRateLimit(fixture, "i-1"));
  }
  limited.SetRateLimit("1000");
  CHECK(fixture.Get("/one/x").status == 200);
  limited.SetRateLimit("many");
  CHECK(fixture.Get("/one/x").status == 200);
  CHECK(HasRateLimit(fixture, "i-1"));
}

// The first rate is the rate 0, at which no request is welcome; the second one is less than one
// request in ten seconds for each of the four nodes that a node assumes.
TEST_CASE("a server with a rate that is too low for all nodes is not called by all requests") {
  for (const char* rate : {"0", "0.2"}) {
    CAPTURE(rate);
    OneServer fixture;
    fixture.limited.SetRateLimit(rate);
    std::size_t refused = 0;
    for (int i = 0; i < 60; ++i) {
      auto response = fixture.Get("/one/x", fmt::format("id-{}", i));
      if (response.status == 200) continue;
      CHECK(response.status == 503);
      CHECK(std::stod(response["Retry-After"]) > 0);
      ++refused;
    }
    CHECK(refused > 0);
    CHECK(MaxWithinWindow(fixture.limited.arrivals()) <= MaxAllowed(std::stod(rate)));
    // A request that is allowed later shows that the limit has ended.
    fixture.limited.SetRateLimit("");
    CHECK(PlatformFixture::Await([&] {
      fixture.Get("/one/x");
      return !HasRateLimit(fixture, "i-1");
    }));
  }
}

TEST_CASE("a rate limit that is stated while the store is away holds until it ends") {
  for (auto mode : {platform::StoreMode::kUnresponsive, platform::StoreMode::kPortClosed}) {
    CAPTURE(static_cast<int>(mode));
    OneServer fixture;
    fixture.store.SetMode(mode);
    fixture.limited.SetRateLimit("2");
    for (int i = 0; i < 60; ++i) fixture.Get("/one/x", fmt::format("id-{}", i));
    CHECK(HasRateLimit(fixture, "i-1"));
    // The entry lapsed in the meantime and is written again.
    fixture.store.ExpireKeys(platform::kServerPrefix);
    fixture.store.SetMode(platform::StoreMode::kServe);
    fixture.AddServer("i-2", "other");
    fixture.store.Write(platform::kServerPrefix + std::string("i-1"),
                        fixture.limited.Entry("desk", "a"));
    REQUIRE(fixture.AwaitServers(2));
    CHECK(HasRateLimit(fixture, "i-1"));
    for (int i = 0; i < 60; ++i) fixture.Get("/one/x", fmt::format("id-2{}", i));
    CHECK(MaxWithinWindow(fixture.limited.arrivals()) <= MaxAllowed(2));
  }
}

// The entry expires while the store is down or the server cannot reach it, and comes back.
TEST_CASE("a rate limit and a backoff outlast the server's entry") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  auto& busy = fixture.AddServer("i-2", "busy");
  REQUIRE(fixture.StartServing(2));
  server.SetRateLimit("0.5");
  busy.SetMode(ServerMode::kBackoff);
  busy.SetRetryAfter("3600");
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(2, 0.6, "busy", "busy"));
  REQUIRE(PlatformFixture::Await([&] { return fixture.RoutesVersion() == 2; }));
  CHECK(fixture.Get("/one/x").status == 200);
  CHECK(fixture.Get("/busy/x").status == 503);
  CHECK(busy.backoff_responses() == 1);
  for (const char* id : {"i-1", "i-2"})
    fixture.store.Remove(platform::kServerPrefix + std::string(id));
  REQUIRE(fixture.AwaitServers(0));
  fixture.store.Write(std::string(platform::kServerPrefix) + "i-1", server.Entry("desk", "a"));
  fixture.store.Write(std::string(platform::kServerPrefix) + "i-2", busy.Entry("busy", "a"));
  REQUIRE(fixture.AwaitServers(2));
  CHECK(HasRateLimit(fixture, "i-1"));
  for (int i = 0; i < 30; ++i) {
    fixture.Get("/one/x", fmt::format("id-{}", i));
    CHECK(fixture.Get("/busy/x", fmt::format("id-2{}", i)).status == 503);
  }
  CHECK(MaxWithinWindow(server.arrivals()) <= MaxAllowed(0.5));
  CHECK(busy.backoff_responses() == 1);
}

}  // namespace
}  // namespace damaskroute
