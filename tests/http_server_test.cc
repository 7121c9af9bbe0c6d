#include "damaskroute/http/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "damaskroute/node/event_loop.h"
#include "tests/support/http_call.h"

namespace damaskroute {
namespace {

using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;

// A server on one loop that echoes the body of each request.
class Fixture {
 public:
  explicit Fixture(const std::function<void(HttpServerOptions&)>& change = {}) : loop_(1) {
    options_.listen = testing::FreeEndpoint();
    if (change) change(options_);
    server_ =
        std::make_unique<HttpServer>(std::vector<asio::io_context*>{&loop_.context()}, options_,
                                     [this](HttpRequest request, const HttpResponder& respond) {
                                       ++handled_;
                                       respond({200, "application/json", request.body});
                                     });
    REQUIRE(server_->Start().ok());
    loop_.Start();
  }
  ~Fixture() { loop_.Stop(); }

  Tcp::socket Connect() {
    Tcp::socket socket(client_);
    socket.connect({asio::ip::make_address("127.0.0.1"), options_.listen.port});
    return socket;
  }

  // Sends as much of `text` as the server reads, then returns everything it sends until it closes.
  std::string Exchange(const std::string& text) {
    Tcp::socket socket = Connect();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(text), error);
    return ReadAll(socket);
  }

  static std::string ReadAll(Tcp::socket& socket) {
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  HttpServer& server() { return *server_; }
  int handled() const { return handled_; }
  const Endpoint& endpoint() const { return options_.listen; }

 private:
  asio::io_context client_;
  HttpServerOptions options_;
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::atomic<int> handled_{0};
};

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

bool HasStatus(const std::string& answer, int status) {
  return answer.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
}

TEST_CASE("serves a request and keeps the connection open for the next one") {
  Fixture fixture;
  CHECK(testing::HttpCall(fixture.endpoint(), "POST", "/x", "{}").body == "{}");
  Tcp::socket socket = fixture.Connect();
  std::string one = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
  asio::write(socket, asio::buffer(one + one + Post("Content-Length: 1\r\n", "b")));
  std::string answer = Fixture::ReadAll(socket);
  CHECK(answer.substr(answer.size() - 1) == "b");
  CHECK(fixture.handled() == 4);
}

TEST_CASE("refuses malformed and oversized requests without calling the handler") {
  struct Case {
    std::string name;
    std::string request;
    int status;
  };
  const Case cases[] = {
      {"endless headers", Post(std::string(1 << 20, 'h') + ": 1\r\n", ""), 431},
      {"many headers",
       Post(
           [] {
             std::string headers;
             for (int i = 0; i < 10'000; ++i) headers += "X-" + std::to_string(i) + ": 1\r\n";
             return headers;
           }(),
           ""),
       431},
      {"more fields than permitted",
       Post(
           [] {
             std::string headers;
             for (int i = 0; i < 50; ++i) headers += "a:\r\n";
             return headers;
           }(),
           ""),
       431},
      {"Content-Length of 300 MB", Post("Content-Length: 314572800\r\n", ""), 413},
      {"chunks above the limit",
       Post("Transfer-Encoding: chunked\r\n", "200000\r\n" + std::string(0x200000, 'b') + "\r\n"),
       413},
      {"two Content-Length headers", Post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), 400},
      {"two Host headers", Post("Host: other\r\n", ""), 400},
      {"negative length", Post("Content-Length: -1\r\n", ""), 400},
      {"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Fixture fixture([](HttpServerOptions& options) { options.limits.max_header_fields = 50; });
    CHECK(HasStatus(fixture.Exchange(c.request), c.status));
    CHECK(fixture.handled() == 0);
  }
}

// Guards against request smuggling: the body of a request with another framing must not be read as
// the next request.
TEST_CASE("refuses transfer encodings that do not frame the body") {
  Fixture fixture;
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  for (const char* encoding : {"gzip", "chunked, identity", "xchunked"}) {
    CAPTURE(encoding);
    CHECK(HasStatus(fixture.Exchange("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
                                     std::string(encoding) + "\r\n\r\n" + smuggled),
                    400));
  }
  CHECK(HasStatus(fixture.Exchange("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
                                   "Connection: keep-alive\r\n\r\n0\r\n\r\n" +
                                   smuggled),
                  400));
  CHECK(fixture.handled() == 0);
  CHECK(HasStatus(fixture.Exchange(Post("Transfer-Encoding: chunked\r\n", "0\r\n\r\n")), 200));
}

// Guards against trailer fields that reach the handler as unchecked header fields, and against
// trailers that evade the limit of fields.
TEST_CASE("ignores trailer fields but counts them") {
  std::atomic<std::size_t> passed{0};
  Endpoint endpoint = testing::FreeEndpoint();
  EventLoop loop(1);
  HttpServerOptions options;
  options.listen = endpoint;
  options.pass_headers = true;
  options.limits.max_header_fields = 10;
  HttpServer server({&loop.context()}, options,
                    [&passed](const HttpRequest& request, const HttpResponder& respond) {
                      passed = request.headers.size();
                      respond({200, "text/plain", request.content_type});
                    });
  REQUIRE(server.Start().ok());
  loop.Start();
  auto exchange = [&endpoint](const std::string& text) {
    asio::io_context client;
    Tcp::socket socket(client);
    socket.connect({asio::ip::make_address("127.0.0.1"), endpoint.port});
    asio::write(socket, asio::buffer(text));
    return Fixture::ReadAll(socket);
  };
  const std::string start = Post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n");
  CHECK(HasStatus(exchange(start + "Authorization: a\r\nContent-Type: b\r\n\r\n"), 200));
  CHECK(passed == 3);
  std::string many;
  for (int i = 0; i < 10; ++i) many += "a: b\r\n";
  CHECK(HasStatus(exchange(start + many + "\r\n"), 431));
  loop.Stop();
}

// Guards against a body that the caller would read as the start of the next response.
TEST_CASE("a response to HEAD has a length but no body") {
  Fixture fixture;
  std::string answer = fixture.Exchange(
      "HEAD /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(HasStatus(answer, 200));
  CHECK(answer.find("Content-Length: 4\r\n") != std::string::npos);
  CHECK(answer.ends_with("\r\n\r\n"));
}

TEST_CASE("closes idle connections and incomplete requests after their timeouts") {
  Fixture fixture([](HttpServerOptions& options) {
    options.limits.idle_timeout = milliseconds(20);
    options.limits.header_timeout = milliseconds(20);
    options.body_timeout = milliseconds(20);
  });
  for (const char* sent : {"", "POST /x HTTP/1.1\r\nHost:",
                           "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"}) {
    CAPTURE(sent);
    CHECK(fixture.Exchange(sent).empty());  // Returns only when the server closes.
  }
  CHECK(fixture.handled() == 0);
}

TEST_CASE("closes connections above the limit and accepts new ones after others end") {
  Fixture fixture([](HttpServerOptions& options) { options.max_connections = 2; });
  Tcp::socket first = fixture.Connect();
  Tcp::socket second = fixture.Connect();
  while (fixture.server().open_connections() < 2) std::this_thread::yield();
  CHECK(fixture.Exchange("").empty());
  first.close();
  while (fixture.server().open_connections() == 2) std::this_thread::yield();
  CHECK(HasStatus(fixture.Exchange(Post("Content-Length: 0\r\n", "")), 200));
}

constexpr std::size_t kMemory = std::size_t{1} << 20;

// A request with a body of 200 KB that stops after 30 KB.
std::string IncompleteBody() {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(30'000, 'b');
}

// Guards against bodies that together use more memory than the limit, and against a refusal that
// does not say that the request has not run.
TEST_CASE("limits the memory of the requests of all connections") {
  auto memory = std::make_shared<ClientMemory>(kMemory);
  Fixture fixture([&](HttpServerOptions& options) { options.memory = memory; });
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < 10; ++i) {
    asio::write(sockets.emplace_back(fixture.Connect()), asio::buffer(IncompleteBody()));
  }
  std::string answer =
      fixture.Exchange(Post("Content-Length: 1000000\r\n", std::string(1'000'000, 'b')));
  CHECK(HasStatus(answer, 503));
  CHECK(answer.find("\"verdict\":\"not_run\"") != std::string::npos);
  CHECK(fixture.handled() == 0);
  CHECK(memory->held() <= kMemory);
}

// Guards against declared lengths that count although no byte arrives, and against large requests
// that keep out those without a body.
TEST_CASE("requests without a body are served while bodies use up the memory") {
  auto memory = std::make_shared<ClientMemory>(kMemory);
  Fixture fixture([&](HttpServerOptions& options) { options.memory = memory; });
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < 10; ++i) {
    asio::write(sockets.emplace_back(fixture.Connect()), asio::buffer(IncompleteBody()));
    CHECK(HasStatus(fixture.Exchange(Post("Content-Length: 0\r\n", "")), 200));
  }
}

TEST_CASE("a new connection takes the place of the one that has waited longest") {
  Fixture fixture([](HttpServerOptions& options) { options.max_connections = 2; });
  Tcp::socket first = fixture.Connect();
  Tcp::socket second = fixture.Connect();
  while (fixture.server().open_connections() < 2) std::this_thread::yield();
  std::string answer;
  // Until the others have waited long enough to be closed.
  while (!HasStatus(answer, 200)) answer = fixture.Exchange(Post("Content-Length: 0\r\n", ""));
  CHECK(fixture.server().displaced_connections() == 1);
  CHECK(Fixture::ReadAll(first).empty());  // Returns only when the server closes.
  CHECK(fixture.server().open_connections() <= 2);
}

// Guards against the verdict `not_run` for a refused action that ran through an earlier request.
TEST_CASE("a refusal by the server itself carries the verdict of its target") {
  Fixture fixture([](HttpServerOptions& options) {
    options.limits.max_body_bytes = 10;
    options.refusal_verdict = [](std::string_view target) {
      return target == "/x" ? Verdict::kMayHaveRun : Verdict::kNotRun;
    };
  });
  std::string long_body = "Content-Length: 11\r\n";
  CHECK(fixture.Exchange(Post(long_body, "")).find("\"verdict\":\"may_have_run\"") !=
        std::string::npos);
  std::string other = Post(long_body, "");
  other.replace(other.find("/x"), 2, "/y");
  CHECK(fixture.Exchange(other).find("\"verdict\":\"not_run\"") != std::string::npos);
}

TEST_CASE("draining answers the request in progress and closes the connection") {
  HttpResponder pending_responder;
  std::atomic<bool> arrived{false};
  EventLoop loop(1);
  HttpServerOptions options;
  options.listen = testing::FreeEndpoint();
  HttpServer server({&loop.context()}, options, [&](HttpRequest, HttpResponder respond) {
    pending_responder = std::move(respond);
    arrived = true;
  });
  REQUIRE(server.Start().ok());
  loop.Start();
  asio::io_context client;
  Tcp::socket socket(client);
  socket.connect({asio::ip::make_address("127.0.0.1"), options.listen.port});
  asio::write(socket, asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                               "Content-Length: 0\r\n\r\n")));
  while (!arrived) std::this_thread::yield();
  server.BeginDrain();
  CHECK(server.active_requests() == 1);
  pending_responder({200, "text/plain", "done"});
  std::string answer = Fixture::ReadAll(socket);
  CHECK(HasStatus(answer, 200));
  CHECK(answer.find("Connection: close") != std::string::npos);
  loop.Stop();
}

// Guards against a planned stop under load that drops requests which have just arrived, on
// connections that are still in the listen queue or that are accepted but not yet read.
TEST_CASE("draining answers requests on connections that are not yet accepted") {
  EventLoop loop(1);
  HttpServerOptions options;
  options.listen = testing::FreeEndpoint();
  HttpServer server({&loop.context()}, options, [&](const HttpRequest&, HttpResponder respond) {
    respond({200, "text/plain", "done"});
  });
  REQUIRE(server.Start().ok());
  asio::io_context client;
  std::vector<Tcp::socket> sockets;
  const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  for (int i = 0; i < 50; ++i) {
    Tcp::socket& socket = sockets.emplace_back(client);
    socket.connect({asio::ip::make_address("127.0.0.1"), options.listen.port});
    // The others send after draining has begun, some of them in two pieces.
    if (i % 2 == 0) asio::write(socket, asio::buffer(request));
    if (i % 4 == 1) asio::write(socket, asio::buffer(request.substr(0, 10)));
  }
  server.BeginDrain();
  loop.Start();
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    if (i % 4 == 1) asio::write(sockets[i], asio::buffer(request.substr(10)));
    if (i % 4 == 3) asio::write(sockets[i], asio::buffer(request));
    std::string answer = Fixture::ReadAll(sockets[i]);
    CHECK(HasStatus(answer, 200));
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
  loop.Stop();
}

// A server whose responses are sent by the test and that counts disconnected callers.
struct ManualServer {
  ManualServer() : loop(1) {
    HttpServerOptions options;
    options.listen = testing::FreeEndpoint();
    options.watch_callers = true;
    options.pass_headers = true;
    endpoint = options.listen;
    server =
        std::make_unique<HttpServer>(std::vector<asio::io_context*>{&loop.context()}, options,
                                     [this](HttpRequest request, HttpResponder respond) {
                                       request.presence->on_disconnect = [this] { ++disconnects; };
                                       responder = std::move(respond);
                                       headers = std::move(request.headers);
                                       ++handled;
                                     });
    REQUIRE(server->Start().ok());
    loop.Start();
  }
  ~ManualServer() { loop.Stop(); }

  template <typename Condition>
  static bool WaitUntil(Condition condition) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return condition();
  }

  EventLoop loop;
  Endpoint endpoint;
  std::unique_ptr<HttpServer> server;
  HttpResponder responder;
  std::vector<HeaderField> headers;
  std::atomic<int> handled{0};
  std::atomic<int> disconnects{0};
};

constexpr char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\n\r\n";

TEST_CASE("detects that a caller disconnects during its request") {
  ManualServer manual;
  asio::io_context io;
  {
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), manual.endpoint.port});
    asio::write(socket, asio::buffer(kGet, sizeof kGet - 1));
    REQUIRE(ManualServer::WaitUntil([&] { return manual.handled == 1; }));
    CHECK(manual.disconnects == 0);
    CHECK(HeaderValue(manual.headers, "X-a") == "1");
    CHECK(manual.headers.size() == 3);
  }
  CHECK(ManualServer::WaitUntil([&] { return manual.disconnects == 1; }));
  manual.responder({});  // Too late; has no effect.
  manual.responder = nullptr;
  CHECK(ManualServer::WaitUntil([&] { return manual.server->open_connections() == 0; }));
}

TEST_CASE("serves pipelined requests in order while watching for disconnects") {
  ManualServer manual;
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), manual.endpoint.port});
  std::string two = std::string(kGet) + kGet;
  asio::write(socket, asio::buffer(two));
  for (int i = 1; i <= 2; ++i) {
    REQUIRE(ManualServer::WaitUntil([&] { return manual.handled == i; }));
    HttpResponse response;
    response.headers.push_back({"X-Number", std::to_string(i)});
    manual.responder(response);
  }
  std::string answers;
  boost::system::error_code error;
  while (answers.find("X-Number: 2") == std::string::npos && !error) {
    char bytes[512];
    answers.append(bytes, socket.read_some(asio::buffer(bytes), error));
  }
  CHECK(answers.find("X-Number: 1") < answers.find("X-Number: 2"));
  CHECK(manual.disconnects == 0);
}

TEST_CASE("a reset does not discard the last response of a watched connection") {
  ManualServer manual;
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), manual.endpoint.port});
  asio::write(socket, asio::buffer(kGet, sizeof kGet - 1));
  REQUIRE(ManualServer::WaitUntil([&] { return manual.handled == 1; }));
  manual.server->CloseAfterResponses(true);
  // Bytes of the next request arrive while the response is sent.
  asio::write(socket, asio::buffer(kGet, sizeof kGet - 1));
  manual.responder({200, "text/plain", "whole"});
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK(error == asio::error::eof);
  CHECK(answer.find("whole") != std::string::npos);
}

// Guards against a request that arrives during shutdown and is passed to a destroyed service. The
// process then searched a destroyed map in an endless loop (deploy/days/ends.toml).
TEST_CASE("does not handle a request that is read after the server is destroyed") {
  asio::io_context loop;
  int handled = 0;
  HttpServerOptions options;
  options.listen = testing::FreeEndpoint();
  auto server = std::make_unique<HttpServer>(
      std::vector<asio::io_context*>{&loop}, options,
      [&handled](const HttpRequest&, const HttpResponder&) { ++handled; });
  REQUIRE(server->Start().ok());
  asio::io_context client_loop;
  asio::ip::tcp::socket client(client_loop);
  client.connect({asio::ip::make_address("127.0.0.1"), options.listen.port});
  loop.run_for(std::chrono::milliseconds(50));
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  loop.restart();
  loop.run_for(std::chrono::milliseconds(50));
  server.reset();
  asio::write(client, asio::buffer(std::string("Host: a\r\n\r\n")));
  loop.restart();
  loop.run_for(std::chrono::milliseconds(200));
  CHECK(handled == 0);
}

}  // namespace
}  // namespace damaskroute
