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

// Limits for discarding the unread input of a rejected request.
inline constexpr std::chrono::seconds kDiscardTimeout{1};
inline constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

/// Upper bound for `ClientLimits::max_header_bytes`; bounds the buffer of a connection.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

// Number of bytes of the next request that may be read while the current one is served.
inline constexpr std::size_t kReadAheadSize = 4096;

/// One connection. Reads a request, passes it to the handler, writes the response and repeats. Kept
/// alive by its pending asynchronous operations. All functions run on the connection's loop.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Shared = HttpServer::Shared;
  using Tcp = asio::ip::tcp;

  HttpSession(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop)
      : shared_(std::move(shared)),
        loop_index_(loop),
        connection_count_(shared_->connections, 1),
        stream_(std::move(socket)),
        timer_(stream_.get_executor()),
        buffer_(kMaxHeaderBytes + 8192) {}

  // Waits for the first byte of the next request.
  void ReadNextRequest() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(shared_->options.limits.max_header_bytes));
    parser_->body_limit(shared_->options.limits.max_body_bytes);
    if (buffer_.size() > 0 && !read_pending_) {
      ReadHeader();
      return;
    }
    // A new connection may carry a request that was already sent, so it is still served.
    if (shared_->draining && !read_pending_ && request_number_ > 0) {
      Close();
      return;
    }
    idle_ = true;
    timer_.expires_after(shared_->options.limits.idle_timeout);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error && self->idle_) self->Close();
    });
    if (!read_pending_) ReadSome();
  }

 private:
  // Between requests, reads the start of the next one. During a request, detects that the caller
  // closes the connection.
  void ReadSome() {
    read_pending_ = true;
    stream_.expires_never();
    stream_.async_read_some(
        buffer_.prepare(kReadAheadSize),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          self->read_pending_ = false;
          self->OnBytes(error, size);
        });
  }

  void OnBytes(const boost::system::error_code& error, std::size_t size) {
    if (closing_) {
      if (error) return Close();
      return DiscardUnreadInput();
    }
    if (!error) buffer_.commit(size);
    if (idle_) {
      idle_ = false;
      timer_.cancel();
      if (error) return Close();
      return ReadHeader();
    }
    if (!error) return;  // A pipelined request, which is read after the response.
    caller_disconnected_ = true;
    if (!presence_ || presence_->disconnected) return;
    presence_->disconnected = true;
    auto notify = std::exchange(presence_->on_disconnect, nullptr);
    if (notify) notify();
  }

  void ReadHeader() {
    // A request counts from its first byte, so that a shutdown waits for a request that is still
    // being received.
    active_request_count_.emplace(shared_->active_requests, 1);
    stream_.expires_after(shared_->options.limits.header_timeout);
    boost::beast::http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (error) return self->RejectOnReadError(error);
          self->OnHeader();
        });
  }

  void OnHeader() {
    const HttpServerOptions& options = shared_->options;
    received_at_ = SteadyClock().Now();
    if (auto problem = CheckHeader(parser_->get())) return Reject(*problem);
    std::size_t length =
        parser_->content_length().value_or(parser_->chunked() ? options.limits.max_body_bytes : 0);
    if (length > options.limits.max_body_bytes) {
      return Reject(ProblemOf(boost::beast::http::error::body_limit));
    }
    buffered_byte_count_.emplace(shared_->buffered_bytes, length);
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
          if (error) return self->RejectOnReadError(error);
          self->DispatchRequest();
        });
  }

  void DispatchRequest() {
    if (shared_->closed) return Close();
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.content_type = std::string(message[boost::beast::http::field::content_type]);
    request.body = std::move(message.body());
    request.loop = loop_index_;
    request.received = received_at_;
    if (shared_->options.pass_headers) {
      for (const auto& field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
      }
    }
    stream_.expires_never();
    if (shared_->options.watch_callers) {
      presence_ = std::make_shared<CallerPresence>();
      request.presence = presence_;
      request.connection = {MeasuredRoundTrip(), /*opened_connection=*/request_number_ == 0};
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
    if (presence_ && !read_pending_ && buffer_.size() == 0) ReadSome();
  }

  std::chrono::microseconds MeasuredRoundTrip() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
      return std::chrono::microseconds(0);  // Unknown; see `CallerConnection::round_trip`.
    }
    return std::chrono::microseconds(info.tcpi_rtt);
  }

  // Sends the response to the request with this number. Drops a second response.
  void Respond(std::uint64_t number, HttpResponse response) {
    if (number != request_number_ || !active_request_count_) return;
    timer_.cancel();
    ++request_number_;
    buffered_byte_count_.reset();
    if (presence_) presence_->on_disconnect = nullptr;
    presence_.reset();
    if (caller_disconnected_) return Close();
    keep_alive_ = keep_alive_ && !shared_->draining && !shared_->close_after_responses;
    Write(std::move(response));
  }

  void Write(HttpResponse response) {
    response_.emplace(ToBeast(std::move(response), keep_alive_));
    stream_.expires_after(shared_->options.write_timeout);
    boost::beast::http::async_write(
        stream_, *response_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          self->active_request_count_.reset();
          self->response_.reset();
          if (self->rejected_) return self->DiscardUnreadInput();
          if (error || self->caller_disconnected_) return self->Close();
          if (!self->keep_alive_) return self->CloseGracefully();
          self->ReadNextRequest();
        });
  }

  // Ends the connection after a request that could not be read.
  void RejectOnReadError(const boost::system::error_code& error) {
    bool closed = error == boost::beast::http::error::end_of_stream || error == asio::error::eof ||
                  error == asio::error::connection_reset ||
                  error == boost::beast::http::error::partial_message;
    // Beast closes the socket on a timeout, so no response can be sent.
    if (closed || error == boost::beast::error::timeout ||
        error == asio::error::operation_aborted) {
      return Close();
    }
    Reject(ProblemOf(error));
  }

  void Reject(Problem problem) {
    // The request line was parsed before the invalid header.
    auto target = parser_->get().target();
    if (!target.empty() && shared_->options.refusal_verdict) {
      problem.verdict =
          shared_->options.refusal_verdict(std::string_view(target.data(), target.size()));
    }
    rejected_ = true;
    keep_alive_ = false;
    Write(MakeProblemResponse(problem));
  }

  // Closing a socket with unread input makes the kernel reset the connection, and the client may
  // lose the response. Therefore reads on, limited by time and size.
  void DiscardUnreadInput() {
    if (!discarding_) {
      discarding_ = true;
      boost::system::error_code ignored;
      stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
      stream_.expires_after(kDiscardTimeout);
    }
    buffer_.consume(buffer_.size());
    stream_.async_read_some(
        buffer_.prepare(4096),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          self->discarded_ += size;
          if (error || self->discarded_ > kMaxDiscardedBytes) {
            return self->Close();
          }
          self->DiscardUnreadInput();
        });
  }

  // Closes the connection after a response. Bytes of the next request may be in flight, and an
  // immediate close would then reset the connection before the caller has read the response.
  void CloseGracefully() {
    if (!read_pending_) return Close();
    closing_ = true;
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kDiscardTimeout);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) { self->Close(); });
  }

  void Close() {
    idle_ = false;
    timer_.cancel();
    active_request_count_.reset();
    buffered_byte_count_.reset();
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  std::shared_ptr<Shared> shared_;
  std::size_t loop_index_;
  ScopedCount connection_count_;
  boost::beast::tcp_stream stream_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<boost::beast::http::response<boost::beast::http::empty_body>> continue_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>> response_;
  std::optional<ScopedCount> active_request_count_;  // While a request is received or served.
  std::optional<ScopedCount> buffered_byte_count_;   // Size of the request body.
  TimePoint received_at_;
  std::uint64_t request_number_ = 0;
  std::shared_ptr<CallerPresence> presence_;
  bool idle_ = false;                 // Between two requests.
  bool read_pending_ = false;         // `ReadSome` is pending.
  bool closing_ = false;              // The last response was sent.
  bool caller_disconnected_ = false;  // The caller closed during its request.
  bool keep_alive_ = false;
  bool rejected_ = false;
  bool discarding_ = false;
  std::size_t discarded_ = 0;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_
