#ifndef TESTS_SUPPORT_RAW_SERVER_H_
#define TESTS_SUPPORT_RAW_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop_thread.h"

namespace damaskroute {

/// Server port on which a test writes the bytes itself. The destructor closes its connections; must
/// not be called on the loop. Handlers of their operations may still run afterwards with an error.
class RawServer {
 public:
  using Tcp = asio::ip::tcp;
  using Connection = std::shared_ptr<Tcp::socket>;

  /// `on_connection` is called on the loop for each accepted connection.
  RawServer(standins::LoopThread& loop, std::function<void(const Connection&)> on_connection)
      : loop_(loop), on_connection_(std::move(on_connection)) {
    loop_.Run([this] {
      acceptor_ = std::make_unique<Tcp::acceptor>(
          loop_.io(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      Accept();
    });
  }

  ~RawServer() {
    loop_.Run([this] {
      acceptor_.reset();
      for (auto& connection : connections_) connection->close();
    });
    // Handlers of operations that had succeeded before are ahead of this in the loop's queue.
    loop_.Run([] {});
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint() {
    return {"127.0.0.1", loop_.Run([this] { return acceptor_->local_endpoint().port(); })};
  }

 private:
  void Accept() {
    acceptor_->async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
      if (error || !acceptor_) return;
      connections_.push_back(std::make_shared<Tcp::socket>(std::move(socket)));
      on_connection_(connections_.back());
      Accept();
    });
  }

  standins::LoopThread& loop_;
  const std::function<void(const Connection&)> on_connection_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::list<Connection> connections_;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_RAW_SERVER_H_
