#include "damaskroute/http/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
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

// Unread input of a rejected request is read for so long, and so much of it.
constexpr std::chrono::seconds kDiscardTime{1};
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

constexpr std::chrono::milliseconds kAcceptPause{10};

// Greatest value of `ClientLimits::max_header_bytes`; bounds the buffer of a connection.
constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

// Bytes of a next request that are read while one is served.
constexpr std::size_t kWatchReadSize = 4096;

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

http::response<http::string_body> ToBeast(HttpResponse response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  if (!response.content_type.empty()) {
    message.set(http::field::content_type, response.content_type);
  }
  for (const HeaderField& field : response.headers) message.insert(field.name, field.value);
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

// One connection: reads a request, hands it to the handler, writes the response, and so on. Kept
// alive by the handlers of its operations. All functions run on the connection's loop.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop)
      : shared_(std::move(shared)),
        loop_(loop),
        counted_(shared_->connections, 1),
        stream_(std::move(socket)),
        timer_(stream_.get_executor()),
        buffer_(kMaxHeaderBytes + 8192) {}

  // Waits for the first byte of the next request.
  void Next() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(shared_->options.limits.max_header_bytes));
    parser_->body_limit(shared_->options.limits.max_body_bytes);
    if (buffer_.size() > 0 && !watching_) {
      ReadHeader();
      return;
    }
    if (shared_->draining && !watching_) {
      Close();
      return;
    }
    idle_ = true;
    timer_.expires_after(shared_->options.limits.idle_timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && self->idle_) self->Close();
    });
    if (!watching_) ReadSome();
  }

 private:
  // Reads the next bytes: between requests the start of the next one, during a request only to
  // notice that the caller closes.
  void ReadSome() {
    watching_ = true;
    stream_.expires_never();
    stream_.async_read_some(buffer_.prepare(kWatchReadSize),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->watching_ = false;
                              self->OnBytes(error, size);
                            });
  }

  void OnBytes(const error_code& error, std::size_t size) {
    if (closing_) {
      if (error) return Close();
      return DiscardRest();
    }
    if (!error) buffer_.commit(size);
    if (idle_) {
      idle_ = false;
      timer_.cancel();
      if (error) return Close();
      return ReadHeader();
    }
    if (!error) return;  // The next request came early; it is read after the response.
    caller_left_ = true;
    if (!presence_ || presence_->gone) return;
    presence_->gone = true;
    auto notify = std::exchange(presence_->on_gone, nullptr);
    if (notify) notify();
  }

  void ReadHeader() {
    // Counted from its first byte, so that a shutdown waits for a request that is being received.
    active_.emplace(shared_->active_requests, 1);
    stream_.expires_after(shared_->options.limits.header_timeout);
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (error) return self->RejectAfter(error);
                              self->OnHeader();
                            });
  }

  void OnHeader() {
    const HttpServerOptions& options = shared_->options;
    received_ = SteadyClock().Now();
    if (auto problem = CheckHeader(parser_->get())) return Reject(*problem);
    std::size_t length =
        parser_->content_length().value_or(parser_->chunked() ? options.limits.max_body_bytes : 0);
    if (length > options.limits.max_body_bytes) return Reject(ProblemOf(http::error::body_limit));
    buffered_.emplace(shared_->buffered_bytes, length);
    if (shared_->buffered_bytes > options.max_buffered_bytes) {
      return Reject({503, "overloaded", "too many request bodies at once", Verdict::kNotRun,
                     std::chrono::seconds(1)});
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      return SendContinue();
    }
    ReadBody();
  }

  void SendContinue() {
    continue_.emplace(http::status::continue_, 11);
    http::async_write(stream_, *continue_,
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (error) return self->Close();
                        self->ReadBody();
                      });
  }

  void ReadBody() {
    stream_.expires_after(shared_->options.body_timeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                       if (error) return self->RejectAfter(error);
                       self->Handle();
                     });
  }

  void Handle() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.content_type = std::string(message[http::field::content_type]);
    request.body = std::move(message.body());
    request.loop = loop_;
    request.received = received_;
    if (shared_->options.pass_headers) {
      for (const auto& field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
      }
    }
    stream_.expires_never();
    if (shared_->options.watch_callers) {
      presence_ = std::make_shared<CallerPresence>();
      request.presence = presence_;
    }
    std::uint64_t number = ++request_number_;
    timer_.expires_after(shared_->options.handler_timeout);
    timer_.async_wait([self = shared_from_this(), number](const error_code& error) {
      if (error) return;
      self->Respond(number,
                    MakeProblemResponse({504, "handler_timeout", "no response was produced in time",
                                         Verdict::kMayHaveRun}));
    });
    shared_->handler(
        std::move(request), [self = shared_from_this(), number](HttpResponse response) {
          auto executor = self->stream_.get_executor();
          asio::post(executor, [self, number, response = std::move(response)]() mutable {
            self->Respond(number, std::move(response));
          });
        });
    if (presence_ && !watching_ && buffer_.size() == 0) ReadSome();
  }

  // Sends the response to the request with this number; a second one for it is dropped.
  void Respond(std::uint64_t number, HttpResponse response) {
    if (number != request_number_ || !active_) return;
    timer_.cancel();
    ++request_number_;
    buffered_.reset();
    if (presence_) presence_->on_gone = nullptr;
    presence_.reset();
    if (caller_left_) return Close();
    keep_alive_ = keep_alive_ && !shared_->draining && !shared_->close_after_responses;
    Write(std::move(response));
  }

  void Write(HttpResponse response) {
    response_.emplace(ToBeast(std::move(response), keep_alive_));
    stream_.expires_after(shared_->options.write_timeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        self->active_.reset();
                        self->response_.reset();
                        if (self->rejected_) return self->DiscardRest();
                        if (error || self->caller_left_) return self->Close();
                        if (!self->keep_alive_) return self->CloseGracefully();
                        self->Next();
                      });
  }

  // Ends a connection whose request could not be read.
  void RejectAfter(const error_code& error) {
    bool closed = error == http::error::end_of_stream || error == asio::error::eof ||
                  error == asio::error::connection_reset || error == http::error::partial_message;
    // Beast closes the socket on a timeout, so nothing can be sent then.
    if (closed || error == beast::error::timeout || error == asio::error::operation_aborted) {
      return Close();
    }
    Reject(ProblemOf(error));
  }

  void Reject(Problem problem) {
    // The request line is read before the headers that are at fault.
    auto target = parser_->get().target();
    if (!target.empty() && shared_->options.refusal_verdict) {
      problem.verdict =
          shared_->options.refusal_verdict(std::string_view(target.data(), target.size()));
    }
    rejected_ = true;
    keep_alive_ = false;
    Write(MakeProblemResponse(problem));
  }

  // Closing with unread input makes the kernel reset the connection, and the client may lose the
  // response. Reads on for a bounded time and amount.
  void DiscardRest() {
    if (!discarding_) {
      discarding_ = true;
      error_code ignored;
      stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
      stream_.expires_after(kDiscardTime);
    }
    buffer_.consume(buffer_.size());
    stream_.async_read_some(buffer_.prepare(4096),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->discarded_ += size;
                              if (error || self->discarded_ > kMaxDiscardedBytes) {
                                return self->Close();
                              }
                              self->DiscardRest();
                            });
  }

  // Closes after a response. Bytes of a next request may be on their way, and a plain close would
  // then reset the connection before the caller has read the response.
  void CloseGracefully() {
    if (!watching_) return Close();
    closing_ = true;
    error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kDiscardTime);
    timer_.async_wait([self = shared_from_this()](const error_code&) { self->Close(); });
  }

  void Close() {
    idle_ = false;
    timer_.cancel();
    active_.reset();
    buffered_.reset();
    error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  std::shared_ptr<Shared> shared_;
  std::size_t loop_;
  Counted counted_;
  beast::tcp_stream stream_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::empty_body>> continue_;
  std::optional<http::response<http::string_body>> response_;
  std::optional<Counted> active_;    // While a request is received or served.
  std::optional<Counted> buffered_;  // Bytes of its body.
  TimePoint received_;
  std::uint64_t request_number_ = 0;
  std::shared_ptr<CallerPresence> presence_;
  bool idle_ = false;         // Between two requests.
  bool watching_ = false;     // `ReadSome` is pending.
  bool closing_ = false;      // The last response was sent.
  bool caller_left_ = false;  // The caller closed while its request was served.
  bool keep_alive_ = false;
  bool rejected_ = false;
  bool discarding_ = false;
  std::size_t discarded_ = 0;
};

void AcceptNext(const std::shared_ptr<Shared>& shared, std::size_t next);

void OnAccepted(const std::shared_ptr<Shared>& shared, std::size_t loop, const error_code& error,
                Tcp::socket socket) {
  // Connections above the limit are closed at once.
  if (error || shared->connections >= shared->options.max_connections) return;
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(shared, std::move(socket), loop);
  // The session must start on its own loop, as its stream is not shared between threads.
  asio::post(*shared->loops[loop], [session] { session->Next(); });
}

void PauseAccepting(const std::shared_ptr<Shared>& shared, std::size_t next) {
  auto pause = std::make_shared<asio::steady_timer>(*shared->loops.front(), kAcceptPause);
  pause->async_wait([shared, next, pause](const error_code&) { AcceptNext(shared, next); });
}

void AcceptNext(const std::shared_ptr<Shared>& shared, std::size_t next) {
  if (shared->draining || !shared->acceptor) return;
  std::size_t loop = next % shared->loops.size();
  shared->acceptor->async_accept(*shared->loops[loop],
                                 [shared, loop, next](const error_code& error, Tcp::socket socket) {
                                   if (error == asio::error::operation_aborted) return;
                                   OnAccepted(shared, loop, error, std::move(socket));
                                   // Out of file descriptors, for example: wait instead of
                                   // spinning.
                                   if (error) return PauseAccepting(shared, next + 1);
                                   AcceptNext(shared, next + 1);
                                 });
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
  asio::post(*shared_->loops.front(), [shared = shared_] { AcceptNext(shared, 0); });
  return absl::OkStatus();
}

void HttpServer::BeginDrain() {
  shared_->draining = true;
  asio::post(*shared_->loops.front(), [shared = shared_] {
    error_code ignored;
    if (shared->acceptor) shared->acceptor->close(ignored);
  });
}

void HttpServer::SetClientLimits(const ClientLimits& limits) {
  shared_->options.limits = limits;
  auto& bytes = shared_->options.limits.max_header_bytes;
  bytes = std::min(bytes, kMaxHeaderBytes);
}

void HttpServer::CloseAfterResponses() { shared_->close_after_responses = true; }

std::size_t HttpServer::active_requests() const { return shared_->active_requests; }

std::size_t HttpServer::open_connections() const { return shared_->connections; }

}  // namespace damaskroute
