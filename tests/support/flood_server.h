#ifndef TESTS_SUPPORT_FLOOD_SERVER_H_
#define TESTS_SUPPORT_FLOOD_SERVER_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop.h"

namespace damaskroute {

/// What a `FloodServer` without a filler does after its answer.
enum class FloodEnd : std::uint8_t { kKeep, kClose, kReset };

/// Server that answers each connection with `start` and then with `filler` without an end, until
/// the other side closes; with an empty `filler` just with `start`.
class FloodServer {
 public:
  using Tcp = asio::ip::tcp;

  FloodServer(standins::Loop& loop, std::string start, std::string filler,
              FloodEnd end = FloodEnd::kKeep)
      : loop_(loop), start_(std::move(start)), filler_(std::move(filler)), end_(end) {
    // Written in larger pieces, as a fast server would.
    std::string one = filler_;
    while (!one.empty() && filler_.size() < kPiece) filler_ += one;
    loop_.Run([this] {
      acceptor_ = std::make_unique<Tcp::acceptor>(
          loop_.io(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      Accept();
    });
  }

  ~FloodServer() {
    loop_.Run([this] {
      acceptor_.reset();
      for (auto& socket : sockets_) socket->close();
    });
  }

  Endpoint endpoint() {
    return {"127.0.0.1", loop_.Run([this] { return acceptor_->local_endpoint().port(); })};
  }

  /// Bytes that the other sides and the sockets' buffers have taken.
  std::uint64_t sent() const { return sent_; }

 private:
  static constexpr std::size_t kPiece = 4096;

  void Accept() {
    acceptor_->async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<Tcp::socket>(std::move(socket));
      sockets_.push_back(connection);
      // The request is not needed; a part of it shows that there is one.
      auto byte = std::make_shared<char>();
      connection->async_read_some(asio::buffer(byte.get(), 1),
                                  [this, connection, byte](const auto& failed, std::size_t) {
                                    if (!failed) Write(connection, start_);
                                  });
      Accept();
    });
  }

  void Write(const std::shared_ptr<Tcp::socket>& connection, const std::string& bytes) {
    asio::async_write(*connection, asio::buffer(bytes),
                      [this, connection](const auto& error, std::size_t size) {
                        sent_ += size;
                        if (error) return;
                        if (!filler_.empty()) return Write(connection, filler_);
                        End(*connection);
                      });
  }

  void End(Tcp::socket& connection) const {
    if (end_ == FloodEnd::kKeep) return;
    boost::system::error_code ignored;
    // Unread bytes would turn a close into a reset.
    if (end_ == FloodEnd::kClose) {
      connection.shutdown(Tcp::socket::shutdown_send, ignored);
      return;
    }
    connection.set_option(asio::socket_base::linger(true, 0), ignored);
    connection.close(ignored);
  }

  standins::Loop& loop_;
  const std::string start_;
  std::string filler_;
  const FloodEnd end_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::list<std::shared_ptr<Tcp::socket>> sockets_;
  std::atomic<std::uint64_t> sent_{0};
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_FLOOD_SERVER_H_
