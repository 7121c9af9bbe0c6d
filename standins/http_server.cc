#include "standins/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "fmt/format.h"

namespace damaskroute::standins {

absl::Status HttpServer::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  auto address = asio::ip::make_address(endpoint.address, error);
  auto acceptor = std::make_shared<Acceptor>(io_.get_executor());
  if (!error) acceptor->open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor->bind({address, endpoint.port}, error);
  if (!error) acceptor->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return absl::UnavailableError(
        fmt::format("cannot listen on {}: {}", FormatEndpoint(endpoint), error.message()));
  }
  port_ = acceptor->local_endpoint().port();
  acceptor_ = std::move(acceptor);
  Accept();
  return absl::OkStatus();
}

void HttpServer::Accept() {
  acceptor_->async_accept(
      [self = shared_from_this(), acceptor = acceptor_](const boost::system::error_code& error,
                                                        HttpConnection::Socket socket) {
        if (self->acceptor_ != acceptor) return;
        if (error) {
          self->ScheduleAcceptRetry();
          return;
        }
        self->OnAccept(std::move(socket));
        self->Accept();
      });
}

void HttpServer::ScheduleAcceptRetry() {
  // Usually out of file descriptors; retry until another connection has been closed.
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(10));
  timer->async_wait(
      [self = shared_from_this(), timer, acceptor = acceptor_](const boost::system::error_code&) {
        if (self->acceptor_ == acceptor) self->Accept();
      });
}

void HttpServer::OnAccept(HttpConnection::Socket socket) {
  boost::system::error_code ignored;
  if (options_.connection_limit > 0 &&
      connections_.size() >= static_cast<std::size_t>(options_.connection_limit)) {
    ++refused_;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    return;
  }
  ++accepted_;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto connection = std::make_shared<HttpConnection>(shared_from_this(), std::move(socket));
  connections_.insert(connection.get());
  max_connections_ = std::max(max_connections_, connections_.size());
  connection->Start(options_.connect_cost);
}

void HttpServer::StopListening() {
  if (!acceptor_) return;
  boost::system::error_code ignored;
  acceptor_->close(ignored);
  acceptor_.reset();
}

void HttpServer::ResetConnections() {
  std::vector<std::shared_ptr<HttpConnection>> open;
  open.reserve(connections_.size());
  for (HttpConnection* connection : connections_) {
    if (auto locked = connection->weak_from_this().lock()) open.push_back(std::move(locked));
  }
  for (const auto& connection : open) connection->Reset();
}

void HttpServer::Close() {
  StopListening();
  ResetConnections();
  handler_ = nullptr;
}

}  // namespace damaskroute::standins
