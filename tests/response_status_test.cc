#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "damaskroute/http/backend_client.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_vm_list.h"
#include "tests/support/flood_server.h"
#include "tests/support/platform_fixture.h"

// Responses whose status is not three digits from 200 to 599. Each case guards against such a
// response that reaches a client, becomes part of a query, or holds its call until the deadline.

namespace damaskroute {
namespace {

using std::chrono::seconds;

constexpr const char* kInvalid[] = {"000", "001", "099", "101", "600", "999", "2000",
                                    "20",  "+20", "-20", "abc", "2x0", ""};

std::string ResponseWith(const std::string& status) {
  return "HTTP/1.1 " + status + " Text\r\nContent-Length: 5\r\n\r\nhello";
}

ExchangeResult Exchange(const Endpoint& server) {
  asio::io_context loop;
  BackendClient client(loop, server, 1, {});
  std::optional<ExchangeResult> result;
  client.Start({"GET / HTTP/1.1\r\n\r\n", std::chrono::hours(1)},
               [&](ExchangeResult ended) { result = std::move(ended); });
  // The time limit is only reached if the test fails.
  auto limit = std::chrono::steady_clock::now() + seconds(10);
  while (!result && std::chrono::steady_clock::now() < limit) loop.run_one_for(seconds(1));
  if (!result) return ExchangeResult{.end = ExchangeEnd::kTimedOut};
  return std::move(*result);
}

TEST_CASE("an exchange with an invalid status ends at once as an invalid response") {
  standins::LoopThread servers;
  for (const char* status : kInvalid) {
    CAPTURE(std::string(status));
    FloodServer server(servers, ResponseWith(status), "");
    CHECK(Exchange(server.endpoint()).end == ExchangeEnd::kBadAnswer);
  }
}

TEST_CASE("every status from 200 to 599 is accepted, also after interim responses") {
  standins::LoopThread servers;
  for (int status : {200, 299, 304, 404, 599}) {
    CAPTURE(status);
    for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n",
                                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"}) {
      FloodServer server(servers, interim + ResponseWith(std::to_string(status)), "");
      ExchangeResult result = Exchange(server.endpoint());
      CHECK(result.end == ExchangeEnd::kAnswered);
      CHECK(result.status == status);
    }
  }
}

// Adds a server whose responses have this status.
void AddServer(PlatformFixture& w, FloodServer& server, const std::string& id,
               const std::string& service) {
  w.store.Write(platform::kServerPrefix + id,
                PlatformFixture::Server::EntryAt(server.endpoint(), service, "a", 1, "ready"));
}

TEST_CASE("a request whose server sends an invalid status fails, and may have run") {
  for (const char* status : kInvalid) {
    CAPTURE(std::string(status));
    PlatformFixture w;
    FloodServer bad(w.loop, ResponseWith(status), "");
    AddServer(w, bad, "i-1", "desk");
    REQUIRE(w.StartServing(1));
    CHECK(w.Get("/one/x", "id-1").status == 502);
    CHECK(w.Call("POST", "/act/x", "id-2", "book").status == 502);
  }
}

TEST_CASE("an idempotent request is served by another server") {
  for (const char* status : {"000", "101", "600"}) {
    CAPTURE(std::string(status));
    PlatformFixture w;
    FloodServer bad(w.loop, ResponseWith(status), "");
    AddServer(w, bad, "i-1", "desk");
    w.AddServer("i-2", "desk", "b");
    REQUIRE(w.StartServing(2));
    for (int i = 0; i < 3; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  }
}

TEST_CASE("an invalid status is never part of a query") {
  for (const char* status : {"000", "101", "600"}) {
    CAPTURE(std::string(status));
    PlatformFixture w;
    FloodServer bad(w.loop, ResponseWith(status), "");
    AddServer(w, bad, "i-0", "s0");
    w.AddServer("i-1", "s1").SetBody(std::string(16, 'b'));
    w.AddServer("i-2", "s2").SetBody(std::string(16, 'c'));
    REQUIRE(w.StartServing(3));
    auto response = w.Get("/all/x");
    CHECK(response.status == 200);
    CHECK(response[platform::kMissingPartsHeader] == "1");
    CHECK(response.body == std::string(16, 'c') + std::string(16, 'b'));
  }
}

TEST_CASE("an invalid status of another node is not passed to the caller") {
  for (const char* status : {"000", "101", "600"}) {
    CAPTURE(std::string(status));
    PlatformFixture w;
    FloodServer peer(w.loop, ResponseWith(status), "");
    w.store.Write(platform::kServerPrefix + std::string("i-1"),
                  PlatformFixture::Server::EntryAt(standins::NonEphemeralEndpoint(), "desk", "a", 1,
                                                   "ready"));
    w.store.Write(
        platform::kNodePrefix + std::string("node-2"),
        fmt::format(R"({{"zone":"b","requests":"{}"}})", FormatEndpoint(peer.endpoint())));
    REQUIRE(w.StartServing(1));
    CHECK(w.Get("/one/x").status == 502);
  }
}

// Guards against data of the store or the VM list that is taken from such a response. Health checks
// use the same client as the first case.
TEST_CASE("calls to the store and for the VM list fail") {
  standins::LoopThread servers;
  for (const char* status : {"000", "101", "600"}) {
    CAPTURE(std::string(status));
    FloodServer server(servers, ResponseWith(status), "");
    CHECK(HttpStore(server.endpoint(), seconds(10)).Get("k").status().code() ==
          absl::StatusCode::kUnavailable);
    auto list = HttpVmList(server.endpoint(), seconds(10)).Read();
    CHECK(list.status().code() == absl::StatusCode::kUnavailable);
    CHECK(list.status().message().find("not a valid response") != std::string::npos);
  }
}

}  // namespace
}  // namespace damaskroute
