#include "damaskroute/http/http_server.h"

#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"

namespace damaskroute {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

struct HttpServer::Shared {
  std::vector<asio::io_context*> loops;
  HttpServerOptions options;
  HttpHandler handler;
  std::unique_ptr<Tcp::acceptor> acceptor;
  std::atomic<bool> draining{false};
  std::atomic<bool> close_after_responses{false};
  std::atomic<std::size_t> active_requests{0};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> buffered_bytes{0};
};

namespace {

using Shared = HttpServer::Shared;

// Counts a resource for as long as it is held.
class Counted {
 public:
  Counted(std::atomic<std::size_t>& counter, std::size_t amount)
      : counter_(counter), amount_(amount) {
    counter_ += amount_;
  }
  ~Counted() { counter_ -= amount_; }
  Counted(const Counted&) = delete;
  Counted& operator=(const Counted&) = delete;

 private:
  std::atomic<std::size_t>& counter_;
  std::size_t amount_;
};

// Carries the response from the handler's thread to the connection's loop.
struct PendingResponse {
  explicit PendingResponse(const asio::any_io_executor& executor)
      : executor(executor), ready(executor) {}

  asio::any_io_executor executor;
  asio::steady_timer ready;
  std::optional<HttpResponse> response;
};

auto Redirect(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

http::response<http::string_body> ToBeast(HttpResponse response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  message.set(http::field::content_type, response.content_type);
  if (response.retry_after.count() > 0) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retry_after);
    message.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

// A status, or nullopt if the header is acceptable.
std::optional<Problem> CheckHeader(const http::request<http::string_body>& request) {
  for (http::field field : {http::field::host, http::field::content_type,
                            http::field::content_length, http::field::transfer_encoding}) {
    if (request.count(field) > 1) {
      return Problem{
          400, "duplicate_header",
          fmt::format("header {} occurs more than once", http::to_string(field).to_string())};
    }
  }
  return std::nullopt;
}

Problem ProblemOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return {431, "header_too_large", "the request header exceeds the limit"};
  }
  if (error == http::error::body_limit) {
    return {413, "body_too_large", "the request body exceeds the limit"};
  }
  if (error == beast::error::timeout) {
    return {408, "request_timeout", "the request was not received in time"};
  }
  return {400, "bad_request", "the request is not valid HTTP/1.1"};
}

class Session {
 public:
  Session(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop)
      : shared_(std::move(shared)),
        loop_(loop),
        counted_(shared_->connections, 1),
        stream_(std::move(socket)),
        buffer_(shared_->options.max_header_bytes + 8192) {}

  asio::awaitable<void> Run() {
    while (!shared_->draining && co_await ServeOne()) {
    }
    error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

 private:
  // Serves one request; false if the connection must be closed.
  asio::awaitable<bool> ServeOne() {
    const HttpServerOptions& options = shared_->options;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    parser.body_limit(options.max_body_bytes);
    error_code error;
    if (buffer_.size() == 0) {
      stream_.expires_after(options.idle_timeout);
      auto bytes = co_await stream_.async_read_some(buffer_.prepare(4096), Redirect(error));
      if (error) co_return false;
      buffer_.commit(bytes);
    }
    // Counted from its first byte, so that a shutdown waits for a request that is being received.
    Counted active(shared_->active_requests, 1);
    stream_.expires_after(options.header_timeout);
    co_await http::async_read_header(stream_, buffer_, parser, Redirect(error));
    if (error) co_return co_await Reject(ProblemOf(error), error);
    TimePoint received = SteadyClock().Now();
    if (auto problem = CheckHeader(parser.get())) co_return co_await Reject(*problem, error);
    std::size_t length =
        parser.content_length().value_or(parser.chunked() ? options.max_body_bytes : 0);
    if (length > options.max_body_bytes) {
      co_return co_await Reject(ProblemOf(http::error::body_limit), error);
    }
    Counted buffered(shared_->buffered_bytes, length);
    if (shared_->buffered_bytes > options.max_buffered_bytes) {
      // A named object: GCC 12 destroys braced temporaries in co_await expressions twice.
      Problem problem{503, "overloaded", "too many request bodies at once", Verdict::kNotRun,
                      std::chrono::seconds(1)};
      co_return co_await Reject(problem, error);
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> go_on(http::status::continue_, 11);
      co_await http::async_write(stream_, go_on, Redirect(error));
      if (error) co_return false;
    }
    stream_.expires_after(options.body_timeout);
    co_await http::async_read(stream_, buffer_, parser, Redirect(error));
    if (error) co_return co_await Reject(ProblemOf(error), error);
    bool keep_alive = parser.get().keep_alive();
    HttpResponse response = co_await Handle(parser.release(), received);
    keep_alive = keep_alive && !shared_->draining && !shared_->close_after_responses;
    co_return co_await Write(std::move(response), keep_alive);
  }

  asio::awaitable<HttpResponse> Handle(http::request<http::string_body> message,
                                       TimePoint received) {
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.content_type = std::string(message[http::field::content_type]);
    request.body = std::move(message.body());
    request.loop = loop_;
    request.received = received;
    auto pending = std::make_shared<PendingResponse>(stream_.get_executor());
    pending->ready.expires_after(shared_->options.handler_timeout);
    stream_.expires_never();
    shared_->handler(std::move(request), [pending](HttpResponse response) {
      asio::post(pending->executor, [pending, response = std::move(response)]() mutable {
        pending->response = std::move(response);
        pending->ready.cancel();
      });
    });
    error_code error;
    co_await pending->ready.async_wait(Redirect(error));
    if (pending->response) co_return std::move(*pending->response);
    Problem problem{504, "handler_timeout", "no response was produced in time",
                    Verdict::kMayHaveRun};
    co_return MakeProblemResponse(problem);
  }

  asio::awaitable<bool> Write(HttpResponse response, bool keep_alive) {
    auto message = ToBeast(std::move(response), keep_alive);
    stream_.expires_after(shared_->options.write_timeout);
    error_code error;
    co_await http::async_write(stream_, message, Redirect(error));
    co_return !error && keep_alive;
  }

  // Answers a request that cannot be read to its end, then closes the connection.
  asio::awaitable<bool> Reject(Problem problem, const error_code& error) {
    bool closed = error == http::error::end_of_stream || error == asio::error::eof ||
                  error == asio::error::connection_reset || error == http::error::partial_message;
    // Beast closes the socket on a timeout, so nothing can be sent then.
    if (closed || error == beast::error::timeout) co_return false;
    co_await Write(MakeProblemResponse(problem), false);
    co_await DiscardRest();
    co_return false;
  }

  // Closing with unread input makes the kernel reset the connection, and the client may lose the
  // response. Reads on for a bounded time and amount.
  asio::awaitable<void> DiscardRest() {
    constexpr std::size_t kMaxDiscardedBytes = 4 * 1024 * 1024;
    error_code error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    std::array<char, 8192> scratch;
    stream_.expires_after(std::chrono::seconds(1));
    for (std::size_t total = 0; !error && total < kMaxDiscardedBytes;) {
      total += co_await stream_.async_read_some(asio::buffer(scratch), Redirect(error));
    }
  }

  std::shared_ptr<Shared> shared_;
  std::size_t loop_;
  Counted counted_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

asio::awaitable<void> RunSession(std::shared_ptr<Shared> shared, Tcp::socket socket,
                                 std::size_t loop) {
  Session session(std::move(shared), std::move(socket), loop);
  co_await session.Run();
}

void Spawn(const std::shared_ptr<Shared>& shared, Tcp::socket socket, std::size_t loop) {
  auto executor = socket.get_executor();
  asio::co_spawn(
      executor, RunSession(shared, std::move(socket), loop), [](std::exception_ptr failure) {
        if (!failure) return;
        try {
          std::rethrow_exception(failure);
        } catch (const std::exception& e) {
          LogLine(LogLevel::kError, "HTTP session ended by an exception").Field("error", e.what());
        }
      });
}

asio::awaitable<void> AcceptLoop(std::shared_ptr<Shared> shared) {
  std::size_t next = 0;
  while (!shared->draining) {
    error_code error;
    std::size_t loop = next++ % shared->loops.size();
    Tcp::socket socket(*shared->loops[loop]);
    co_await shared->acceptor->async_accept(socket, Redirect(error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      // Out of file descriptors, for example: wait instead of spinning.
      asio::steady_timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds(10));
      co_await pause.async_wait(Redirect(error));
      continue;
    }
    if (shared->connections >= shared->options.max_connections) continue;  // Closes the socket.
    socket.set_option(Tcp::no_delay(true), error);
    // The session must start on its own loop, as its stream is not shared between threads.
    auto executor = socket.get_executor();
    asio::post(executor, [shared, loop, socket = std::move(socket)]() mutable {
      Spawn(shared, std::move(socket), loop);
    });
  }
}

}  // namespace

HttpServer::HttpServer(std::vector<asio::io_context*> loops, HttpServerOptions options,
                       HttpHandler handler)
    : shared_(std::make_shared<Shared>()) {
  shared_->loops = std::move(loops);
  shared_->options = std::move(options);
  shared_->handler = std::move(handler);
}

HttpServer::~HttpServer() {
  shared_->draining = true;
  // Sessions on other loops keep the shared state longer than the first loop lives, to which the
  // acceptor belongs.
  if (!shared_->loops.empty() && shared_->loops.front()->stopped()) shared_->acceptor.reset();
}

absl::Status HttpServer::Start() {
  error_code error;
  auto address = asio::ip::make_address(shared_->options.listen.address, error);
  if (error) return absl::InvalidArgumentError("listen address is not an IP number");
  Tcp::endpoint endpoint(address, shared_->options.listen.port);
  shared_->acceptor = std::make_unique<Tcp::acceptor>(*shared_->loops.front());
  Tcp::acceptor& acceptor = *shared_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(1024, error);
  if (error) {
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}", FormatEndpoint(shared_->options.listen), error.message()));
  }
  asio::co_spawn(*shared_->loops.front(), AcceptLoop(shared_), asio::detached);
  return absl::OkStatus();
}

void HttpServer::BeginDrain() {
  shared_->draining = true;
  asio::post(*shared_->loops.front(), [shared = shared_] {
    error_code ignored;
    if (shared->acceptor) shared->acceptor->close(ignored);
  });
}

void HttpServer::CloseAfterResponses() { shared_->close_after_responses = true; }

std::size_t HttpServer::active_requests() const { return shared_->active_requests; }

std::size_t HttpServer::open_connections() const { return shared_->connections; }

}  // namespace damaskroute
