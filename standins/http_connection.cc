#include "standins/http_connection.h"

#include <iterator>
#include <utility>

#include "fmt/format.h"
#include "standins/http_server.h"

namespace damaskroute::standins {
namespace {

// More than the 16 KB that a caller may send to a node, which adds headers of its own.
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;
// Above the 1 MB limit of the platform's store, so that its handler can respond with 413.
constexpr std::uint64_t kMaxBodyBytes = 4'000'000;

std::string_view ReasonPhrase(int status) {
  if (status == 499) return "Client Closed Request";
  auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServer> server, Socket socket)
    : server_(std::move(server)), socket_(std::move(socket)) {}

void HttpConnection::Start(std::chrono::microseconds pause) {
  if (pause.count() == 0) {
    Read();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), pause);
  timer->async_wait(
      [self = shared_from_this(), timer](const boost::system::error_code&) { self->Read(); });
}

void HttpConnection::Read() {
  if (closed_ || reading_) return;
  reading_ = true;
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  boost::beast::http::async_read(socket_, buffer_, *parser_,
                                 [self = shared_from_this()](const boost::system::error_code& error,
                                                             std::size_t) { self->OnRead(error); });
}

void HttpConnection::OnRead(const boost::system::error_code& error) {
  reading_ = false;
  if (closed_) return;
  if (error) {
    auto callback = std::exchange(on_peer_closed_, nullptr);
    Close();
    if (callback) callback();
    return;
  }
  HttpRequest request = parser_->release();
  if (busy_) {
    pipelined_request_ = std::move(request);
    return;
  }
  Dispatch(std::move(request));
}

void HttpConnection::Dispatch(HttpRequest request) {
  busy_ = true;
  keep_alive_ = request.keep_alive();
  if (server_->handler_) server_->handler_(shared_from_this(), std::move(request));
  Read();
}

void HttpConnection::Respond(int status, std::string_view headers, std::string_view body) {
  on_peer_closed_ = nullptr;
  if (closed_) return;
  output_.clear();
  fmt::format_to(std::back_inserter(output_), "HTTP/1.1 {} {}\r\n{}{}", status,
                 ReasonPhrase(status), headers, keep_alive_ ? "" : "Connection: close\r\n");
  if (status != 204) {
    fmt::format_to(std::back_inserter(output_), "Content-Length: {}\r\n", body.size());
  }
  output_ += "\r\n";
  output_ += body;
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const boost::system::error_code& write_error,
                                                std::size_t) { self->OnWritten(write_error); });
}

void HttpConnection::RespondRaw(std::string bytes, bool close) {
  on_peer_closed_ = nullptr;
  if (closed_) return;
  if (close) keep_alive_ = false;
  output_ = std::move(bytes);
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const boost::system::error_code& write_error,
                                                std::size_t) { self->OnWritten(write_error); });
}

void HttpConnection::OnWritten(const boost::system::error_code& error) {
  if (closed_) return;
  if (error || !keep_alive_) {
    Close();
    return;
  }
  busy_ = false;
  if (!pipelined_request_) return;
  HttpRequest request = std::move(*pipelined_request_);
  pipelined_request_.reset();
  Dispatch(std::move(request));
}

void HttpConnection::Reset() {
  if (closed_) return;
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  on_peer_closed_ = nullptr;
  Close();
}

void HttpConnection::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  server_->Remove(this);
}

}  // namespace damaskroute::standins
