#ifndef TESTS_SUPPORT_FLOOD_SERVER_H_
#define TESTS_SUPPORT_FLOOD_SERVER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "tests/support/raw_server.h"

namespace damaskroute {

/// What a `FloodServer` without a filler does with the connection after its answer.
enum class FloodEnd : std::uint8_t { kKeep, kClose, kReset };

/// Server that sends `start` on each connection and then repeats `filler` until the peer closes it.
/// With an empty `filler` it sends `start` only.
class FloodServer {
 public:
  FloodServer(standins::LoopThread& loop, std::string start, std::string filler,
              FloodEnd end = FloodEnd::kKeep)
      : start_(std::move(start)),
        filler_(RepeatToPiece(std::move(filler))),
        end_(end),
        server_(loop, [this](const Connection& connection) { Read(connection); }) {}

  Endpoint endpoint() { return server_.endpoint(); }

  /// Bytes accepted by the peers and the socket buffers.
  std::uint64_t sent() const { return *sent_; }

 private:
  using Connection = RawServer::Connection;
  static constexpr std::size_t kPieceBytes = 4096;

  // Repeats `filler` up to `kPieceBytes`, so that it is written in large pieces as by a fast
  // server.
  static std::string RepeatToPiece(std::string filler) {
    std::string one = filler;
    while (!one.empty() && filler.size() < kPieceBytes) filler += one;
    return filler;
  }

  // Waits for the first byte of the request and ignores the rest.
  void Read(const Connection& connection) {
    auto byte = std::make_shared<char>();
    connection->async_read_some(asio::buffer(byte.get(), 1),
                                [this, connection, byte](const auto& error, std::size_t) {
                                  if (!error) Write(connection, start_);
                                });
  }

  void Write(const Connection& connection, const std::string& bytes) {
    // The handler of an aborted write may run after this object was destroyed, so it shares the
    // count.
    asio::async_write(*connection, asio::buffer(bytes),
                      [this, connection, sent = sent_](const auto& error, std::size_t size) {
                        *sent += size;
                        if (error) return;
                        if (!filler_.empty()) return Write(connection, filler_);
                        End(*connection);
                      });
  }

  void End(RawServer::Tcp::socket& connection) const {
    if (end_ == FloodEnd::kKeep) return;
    boost::system::error_code ignored;
    // Only shuts down sending, as closing a socket with unread bytes would cause a reset.
    if (end_ == FloodEnd::kClose) {
      connection.shutdown(RawServer::Tcp::socket::shutdown_send, ignored);
      return;
    }
    connection.set_option(asio::socket_base::linger(true, 0), ignored);
    connection.close(ignored);
  }

  const std::string start_;
  const std::string filler_;
  const FloodEnd end_;
  const std::shared_ptr<std::atomic<std::uint64_t>> sent_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  RawServer server_;  // Uses the members above.
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_FLOOD_SERVER_H_
