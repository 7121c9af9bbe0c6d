#include <doctest/doctest.h>

#include "damaskroute/http/backend_client.h"
#include "tests/support/platform_fixture.h"
#include "tests/support/raw_server.h"

// Guards against a success with an empty or short body that callers get when a backend server stops
// in the middle of the head of its response and closes the connection.

namespace damaskroute {
namespace {

const std::string kHead = fmt::format("HTTP/1.1 200 OK\r\n{}: id-1\r\n{}: stamp\r\n",
                                      platform::kRequestIdHeader, platform::kServerStampHeader);

// Server that responds to each request with the next shorter prefix of `response` and closes.
struct PrefixServer {
  PrefixServer(standins::LoopThread& loop, const std::string& response)
      : left(response.size() - 1), server(loop, [this, response](const auto& connection) {
          auto bytes = std::make_shared<std::string>(4096, ' ');
          connection->async_read_some(
              asio::buffer(*bytes), [this, response, bytes, connection](const auto&, std::size_t) {
                boost::system::error_code ignored;
                asio::write(*connection, asio::buffer(response.substr(0, left)), ignored);
                if (left > 0) --left;
                connection->shutdown(RawServer::Tcp::socket::shutdown_both, ignored);
                connection->close(ignored);
              });
        }) {}

  std::atomic<std::size_t> left;
  RawServer server;
};

TEST_CASE("a response that ends within its head is not a success, at whichever byte") {
  for (const std::string& rest :
       {std::string("Content-Length: 4\r\n\r\nbody"), std::string("Content-Length: 0\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        std::string("Connection: close\r\n\r\n")}) {
    CAPTURE(rest);
    PlatformFixture w;
    PrefixServer server(w.loop, kHead + rest);
    w.store.Write(
        platform::kServerPrefix + std::string("i-1"),
        PlatformFixture::Server::EntryAt(server.server.endpoint(), "desk", "a", 1, "ready"));
    REQUIRE(w.StartServing(1));
    while (server.left > 0) {
      CAPTURE(server.left.load());
      auto answer = w.Get("/act/x");
      CHECK(answer.status >= 500);
      CHECK(answer[platform::kServerStampHeader].empty());
    }
  }
}

}  // namespace
}  // namespace damaskroute
