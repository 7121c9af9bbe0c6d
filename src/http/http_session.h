#ifndef DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_
#define DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "http_messages.h"
#include "http_server_shared.h"

namespace damaskroute::internal {

// Unread input of a rejected request is read for so long, and so much of it.
inline constexpr std::chrono::seconds kDiscardTime{1};
inline constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

/// Greatest value of `ClientLimits::max_header_bytes`; bounds the buffer of a connection.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

// Bytes of a next request that are read while one is served.
inline constexpr std::size_t kWatchReadSize = 4096;

/// One connection: reads a request, hands it to the handler, writes the response, and so on. Kept
/// alive by the handlers of its operations. All functions run on the connection's loop.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Shared = HttpServer::Shared;
  using Tcp = asio::ip::tcp;

  HttpSession(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop)
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
    // A new connection may bring a request that has been sent already.
    if (shared_->draining && !watching_ && request_number_ > 0) {
      Close();
      return;
    }
    idle_ = true;
    timer_.expires_after(shared_->options.limits.idle_timeout);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
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
    stream_.async_read_some(
        buffer_.prepare(kWatchReadSize),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          self->watching_ = false;
          self->OnBytes(error, size);
        });
  }

  void OnBytes(const boost::system::error_code& error, std::size_t size) {
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
    boost::beast::http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
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
    if (length > options.limits.max_body_bytes) {
      return Reject(ProblemOf(boost::beast::http::error::body_limit));
    }
    buffered_.emplace(shared_->buffered_bytes, length);
    if (shared_->buffered_bytes > options.max_buffered_bytes) {
      return Reject({503, "overloaded", "too many request bodies at once", Verdict::kNotRun,
                     std::chrono::seconds(1)});
    }
    if (boost::beast::iequals(parser_->get()[boost::beast::http::field::expect], "100-continue")) {
      return SendContinue();
    }
    ReadBody();
  }

  void SendContinue() {
    continue_.emplace(boost::beast::http::status::continue_, 11);
    boost::beast::http::async_write(
        stream_, *continue_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (error) return self->Close();
          self->ReadBody();
        });
  }

  void ReadBody() {
    stream_.expires_after(shared_->options.body_timeout);
    boost::beast::http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (error) return self->RejectAfter(error);
          self->Handle();
        });
  }

  void Handle() {
    if (shared_->closed) return Close();
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.content_type = std::string(message[boost::beast::http::field::content_type]);
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
      request.way = {MeasuredRoundTrip(), /*opened_connection=*/request_number_ == 0};
    }
    std::uint64_t number = ++request_number_;
    timer_.expires_after(shared_->options.handler_timeout);
    timer_.async_wait([self = shared_from_this(), number](const boost::system::error_code& error) {
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

  std::chrono::microseconds MeasuredRoundTrip() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
      return std::chrono::microseconds(0);  // Unknown, which the estimate allows for.
    }
    return std::chrono::microseconds(info.tcpi_rtt);
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
    boost::beast::http::async_write(
        stream_, *response_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          self->active_.reset();
          self->response_.reset();
          if (self->rejected_) return self->DiscardRest();
          if (error || self->caller_left_) return self->Close();
          if (!self->keep_alive_) return self->CloseGracefully();
          self->Next();
        });
  }

  // Ends a connection whose request could not be read.
  void RejectAfter(const boost::system::error_code& error) {
    bool closed = error == boost::beast::http::error::end_of_stream || error == asio::error::eof ||
                  error == asio::error::connection_reset ||
                  error == boost::beast::http::error::partial_message;
    // Beast closes the socket on a timeout, so nothing can be sent then.
    if (closed || error == boost::beast::error::timeout ||
        error == asio::error::operation_aborted) {
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
      boost::system::error_code ignored;
      stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
      stream_.expires_after(kDiscardTime);
    }
    buffer_.consume(buffer_.size());
    stream_.async_read_some(
        buffer_.prepare(4096),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
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
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kDiscardTime);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) { self->Close(); });
  }

  void Close() {
    idle_ = false;
    timer_.cancel();
    active_.reset();
    buffered_.reset();
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  std::shared_ptr<Shared> shared_;
  std::size_t loop_;
  Counted counted_;
  boost::beast::tcp_stream stream_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<boost::beast::http::response<boost::beast::http::empty_body>> continue_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>> response_;
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

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_
