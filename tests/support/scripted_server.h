#ifndef TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop.h"

namespace damaskroute {

/// Server that answers its first, second, ... request with scripted bytes, in pieces some
/// milliseconds apart, on whichever connection the request comes. Keeps its connections open.
class ScriptedServer {
 public:
  using Tcp = asio::ip::tcp;
  using Pieces = std::vector<std::string>;

  ScriptedServer(standins::Loop& loop, std::vector<Pieces> answers)
      : loop_(loop), answers_(std::move(answers)) {
    loop_.Run([this] {
      acceptor_ = std::make_unique<Tcp::acceptor>(
          loop_.io(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      Accept();
    });
  }

  ~ScriptedServer() {
    loop_.Run([this] {
      acceptor_.reset();
      for (auto& socket : sockets_) socket->close();
    });
  }

  Endpoint endpoint() {
    return {"127.0.0.1", loop_.Run([this] { return acceptor_->local_endpoint().port(); })};
  }

  std::size_t requests() const { return requests_; }

 private:
  static constexpr std::chrono::milliseconds kGap{5};

  void Accept() {
    acceptor_->async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<Tcp::socket>(std::move(socket));
      sockets_.push_back(connection);
      Read(connection);
      Accept();
    });
  }

  // Each request comes in one piece, as it is short.
  void Read(const std::shared_ptr<Tcp::socket>& connection) {
    auto bytes = std::make_shared<std::string>(4096, ' ');
    connection->async_read_some(asio::buffer(*bytes),
                                [this, connection, bytes](const auto& error, std::size_t) {
                                  if (error) return;
                                  std::size_t number = requests_++;
                                  if (number < answers_.size()) Send(connection, number, 0);
                                  Read(connection);
                                });
  }

  void Send(const std::shared_ptr<Tcp::socket>& connection, std::size_t answer, std::size_t piece) {
    if (piece == answers_[answer].size()) return;
    boost::system::error_code ignored;  // The client may have closed.
    asio::write(*connection, asio::buffer(answers_[answer][piece]), ignored);
    auto timer = std::make_shared<asio::steady_timer>(loop_.io(), kGap);
    timer->async_wait([this, timer, connection, answer, piece](const auto& error) {
      if (!error && connection->is_open()) Send(connection, answer, piece + 1);
    });
  }

  standins::Loop& loop_;
  const std::vector<Pieces> answers_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::list<std::shared_ptr<Tcp::socket>> sockets_;
  std::atomic<std::size_t> requests_{0};
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_SCRIPTED_SERVER_H_
