#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/http/http_server.h"
#include "damaskroute/node/event_loop.h"
#include "tests/support/http_call.h"
#include "tests/support/platform_fixture.h"

// Guards against connections that outlive their server, whose clients wait for an answer that
// nobody will send.

namespace damaskroute {
namespace {

using platform::ServerMode;
using Tcp = asio::ip::tcp;

// Names the state of a connection by what its client has sent, and whether a response follows.
struct State {
  std::string name;
  std::string sent;
  bool answered = false;
};

const std::string kHead = "POST /one/x HTTP/1.1\r\nHost: desk.example\r\n";

std::vector<State> States() {
  return {{"accepted and silent", ""},
          {"in a head", kHead},
          {"in a body", kHead + "Content-Length: 9\r\n\r\nabc"},
          {"answered and idle", "GET /answered HTTP/1.1\r\nHost: unknown\r\n\r\n", true},
          {"waiting for a response", PlatformFixture::Render("GET", "/one/x", "id-1")}};
}

// A connection whose reads end after some seconds.
class Client {
 public:
  explicit Client(const Endpoint& endpoint) : socket_(io_) {
    socket_.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    timeval limit{.tv_sec = 5, .tv_usec = 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  void Send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }

  // Reads the head of a response without a body, or with one that arrives in the same piece.
  bool HasAnswer() {
    char bytes[4096];
    return recv(socket_.native_handle(), bytes, sizeof bytes, 0) > 0;
  }

  // Whether the server ends the connection, with or without a reset.
  bool Ends() {
    char byte;
    ssize_t size = recv(socket_.native_handle(), &byte, 1, 0);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  asio::io_context io_;
  Tcp::socket socket_;
};

std::map<std::string, std::unique_ptr<Client>> ConnectInAllStates(const Endpoint& endpoint) {
  std::map<std::string, std::unique_ptr<Client>> clients;
  for (const State& state : States()) {
    auto& client = clients[state.name] = std::make_unique<Client>(endpoint);
    client->Send(state.sent);
    if (state.answered) CHECK(client->HasAnswer());
  }
  return clients;
}

void CheckEnded(const std::map<std::string, std::unique_ptr<Client>>& clients) {
  for (const auto& [state, client] : clients) {
    CAPTURE(state);
    CHECK(client->Ends());
  }
}

TEST_CASE("a destroyed server closes every connection, also with an unanswered request") {
  std::vector<HttpResponder> unanswered;  // Outlive the server and its loop, as a leak would.
  std::atomic<std::size_t> waiting{0};
  auto loop = std::make_unique<EventLoop>(1);
  HttpServerOptions options;
  options.listen = testing::FreeEndpoint();
  options.watch_callers = true;
  auto server =
      std::make_unique<HttpServer>(std::vector<asio::io_context*>{&loop->context()}, options,
                                   [&](const HttpRequest& request, HttpResponder respond) {
                                     if (request.target == "/answered")
                                       return respond({200, "text/plain", "done"});
                                     unanswered.push_back(std::move(respond));
                                     ++waiting;
                                   });
  REQUIRE(server->Start().ok());
  loop->Start();
  auto clients = ConnectInAllStates(options.listen);
  REQUIRE(PlatformFixture::Await(
      [&] { return waiting == 1 && server->open_connections() == clients.size(); }));
  SUBCASE("after its loop has ended") { loop->Stop(); }
  SUBCASE("while its loop runs") {}
  server.reset();
  CheckEnded(clients);
  loop.reset();
}

TEST_CASE("a destroyed node closes every connection, also with a request that waits for a server") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kUnresponsive);
  REQUIRE(fixture.StartServing(1));
  auto clients = ConnectInAllStates(fixture.settings.callers);
  REQUIRE(PlatformFixture::Await([&] { return server.arrivals().size() == 1; }));
  fixture.StopNode();
  CheckEnded(clients);
}

}  // namespace
}  // namespace damaskroute
