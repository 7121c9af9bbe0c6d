#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "damaskroute/http/backend_client.h"
#include "damaskroute/http/byte_budget.h"
#include "tests/support/flood_server.h"
#include "tests/support/floods.h"
#include "tests/support/platform_fixture.h"

// Peers that send without end, in a head, a body or the framing in between. Each exchange must end
// at a fixed size, whatever its deadline, and the memory that the node uses must stay bounded.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The time limit is only reached if the test fails.
void AwaitResult(asio::io_context& loop, const std::optional<ExchangeResult>& result) {
  auto limit = std::chrono::steady_clock::now() + seconds(10);
  while (!result && std::chrono::steady_clock::now() < limit) loop.run_one_for(seconds(1));
}

TEST_CASE("an endless answer is aborted at a fixed size, long before its deadline") {
  standins::LoopThread servers;
  for (const Flood& flood : Floods()) {
    CAPTURE(flood.name);
    FloodServer server(servers, flood.start, flood.filler);
    asio::io_context loop;
    BackendClientOptions options;
    options.max_body_bytes = 1 << 20;
    BackendClient client(loop, server.endpoint(), 1, options);
    std::optional<ExchangeResult> result;
    client.Start({"GET / HTTP/1.1\r\n\r\n", std::chrono::hours(1)},
                 [&](ExchangeResult ended) { result = std::move(ended); });
    AwaitResult(loop, result);
    REQUIRE(result);
    CHECK(result->end == ExchangeEnd::kBadAnswer);
    CHECK(server.sent() < flood.bytes_per_body_byte * options.max_body_bytes + kSocketBufferBytes);
  }
}

TEST_CASE("many endless answers together use no more memory than their budget") {
  standins::LoopThread servers;
  FloodServer server(servers, kOk + "\r\n", "a");
  asio::io_context loop;
  BackendClientOptions options;
  constexpr std::size_t kBudget = 4 << 20;
  constexpr std::size_t kServers = 100;
  options.body_budget = std::make_shared<ByteBudget>(kBudget);
  std::vector<std::unique_ptr<BackendClient>> clients;
  std::size_t ended = 0;
  std::size_t max_held = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    clients.push_back(std::make_unique<BackendClient>(loop, server.endpoint(), 1, options));
    clients.back()->Start({"GET / HTTP/1.1\r\n\r\n", std::chrono::hours(1)},
                          [&](const ExchangeResult& result) {
                            ++ended;
                            CHECK(result.end == ExchangeEnd::kBadAnswer);
                          });
  }
  while (ended < kServers && loop.run_one_for(seconds(60)) > 0) {
    max_held = std::max(max_held, options.body_budget->held());
  }
  CHECK(ended == kServers);
  CHECK(max_held <= kBudget);
  CHECK(max_held > kBudget / 2);
  CHECK(options.body_budget->held() == 0);
}

// Guards against endless answers of some servers that use up the budget and thereby block the
// normal answers of all other servers.
TEST_CASE("a normal answer is read while the budget is used up") {
  standins::LoopThread servers;
  FloodServer good(servers, kOk + "Content-Length: 5\r\n\r\nhello", "");
  asio::io_context loop;
  BackendClientOptions options;
  options.body_budget = std::make_shared<ByteBudget>(0);
  BackendClient client(loop, good.endpoint(), 1, options);
  std::optional<ExchangeResult> result;
  client.Start({"GET / HTTP/1.1\r\n\r\n", seconds(60)},
               [&](ExchangeResult ended) { result = std::move(ended); });
  AwaitResult(loop, result);
  REQUIRE(result);
  CHECK(result->body == "hello");
}

// Guards against answers of other nodes that together take more memory than the budget.
TEST_CASE("many large answers of other nodes are aborted before their deadline") {
  PlatformFixture w;
  FloodServer peer(w.loop, kIncomplete, "");
  w.store.Write(
      platform::kServerPrefix + std::string("i-1"),
      PlatformFixture::Server::EntryAt(standins::NonEphemeralEndpoint(), "desk", "a", 1, "ready"));
  w.store.Write(platform::kNodePrefix + std::string("node-2"),
                fmt::format(R"({{"zone":"b","requests":"{}"}})", FormatEndpoint(peer.endpoint())));
  REQUIRE(w.StartServing(1));
  std::atomic<std::size_t> aborted{0};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kIncompleteAnswers; ++i) {
    callers.emplace_back([&w, &aborted, i] {
      if (w.Get("/one/x", fmt::format("id-{}", i)).status == 502) ++aborted;
    });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(aborted >= kIncompleteAnswers / 2);
}

// Guards against bytes on an idle connection that the node reads, or that become part of an answer.
TEST_CASE("bytes on an idle connection stay in the socket's buffers") {
  standins::LoopThread servers;
  FloodServer server(servers, kOk + "Content-Length: 5\r\n\r\nhello", "a");
  asio::io_context loop;
  BackendClient client(loop, server.endpoint(), 1, {});
  for (int i = 0; i < 3; ++i) {
    std::optional<ExchangeResult> result;
    client.Start({"GET / HTTP/1.1\r\n\r\n", seconds(60)},
                 [&](ExchangeResult ended) { result = std::move(ended); });
    AwaitResult(loop, result);
    REQUIRE(result);
    CHECK(result->body == "hello");
    loop.run_for(milliseconds(200));
  }
  CHECK(server.sent() < 3 * kSocketBufferBytes);
}

TEST_CASE("callers are served by the other server while one sends without end") {
  for (const Flood& flood : Floods()) {
    CAPTURE(flood.name);
    PlatformFixture w;
    FloodServer bad(w.loop, flood.start, flood.filler);
    w.store.Write(platform::kServerPrefix + std::string("i-1"),
                  PlatformFixture::Server::EntryAt(bad.endpoint(), "desk", "a", 1, "ready"));
    w.AddServer("i-2", "desk", "b");
    REQUIRE(w.StartServing(2));
    for (int i = 0; i < 3; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  }
}

// A caller may send without end as well. Its connection is closed, and the node serves others.
TEST_CASE("an endless request is refused at a fixed size") {
  const std::string post = "POST /one/x HTTP/1.1\r\nHost: desk.example\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> floods[] = {
      {"POST /", "a"},
      {post + "X: ", "a"},
      {post, "X: a\r\n"},
      {post + "Content-Length: 999999999\r\n\r\n", "a"},
      {chunked + "1;a=", "a"},
      {chunked, "1\r\na\r\n"},
      {chunked + "1\r\na\r\n0\r\nX: ", "a"},
      {chunked + "1\r\na\r\n0\r\n", "X: a\r\n"},
  };
  PlatformFixture w;
  auto& server = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  for (const auto& [start, filler] : floods) {
    CAPTURE(start);
    CAPTURE(filler);
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), w.settings.callers.port});
    std::string piece = start;
    boost::system::error_code error;
    std::uint64_t sent = 0;
    while (!error && sent < (std::uint64_t{64} << 20)) {
      sent += asio::write(socket, asio::buffer(piece), error);
      piece.clear();
      while (piece.size() < 4096) piece += filler;
    }
    CHECK(error);
    CHECK(sent < (std::uint64_t{4} << 20) + kSocketBufferBytes);
  }
  CHECK(server.runs().empty());
  CHECK(w.Get("/one/x").status == 200);
}

}  // namespace
}  // namespace damaskroute
