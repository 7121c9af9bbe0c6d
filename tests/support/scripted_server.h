#ifndef TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "damaskroute/node/crash_exchange.h"
#include "tests/support/raw_server.h"

namespace damaskroute {

/// Server that answers its first, second, ... request with scripted bytes, on whichever connection
/// the request arrives. Sends the pieces of an answer `kPieceDelay` apart and keeps its connections
/// open. Crash records of nodes are neither answered nor counted.
class ScriptedServer {
 public:
  using Pieces = std::vector<std::string>;

  ScriptedServer(standins::LoopThread& loop, std::vector<Pieces> answers)
      : loop_(loop),
        answers_(std::move(answers)),
        server_(loop, [this](const Connection& connection) { Read(connection); }) {}

  Endpoint endpoint() { return server_.endpoint(); }

  std::size_t requests() const { return requests_; }

 private:
  using Connection = RawServer::Connection;
  static constexpr std::chrono::milliseconds kPieceDelay{5};

  // Assumes that each request, being short, is received by one read.
  void Read(const Connection& connection) {
    auto bytes = std::make_shared<std::string>(4096, ' ');
    connection->async_read_some(asio::buffer(*bytes),
                                [this, connection, bytes](const auto& error, std::size_t) {
                                  if (error) return;
                                  if (bytes->find(kCrashPageHeader) == std::string::npos) {
                                    std::size_t number = requests_++;
                                    if (number < answers_.size()) Send(connection, number, 0);
                                  }
                                  Read(connection);
                                });
  }

  void Send(const Connection& connection, std::size_t answer, std::size_t piece) {
    if (piece == answers_[answer].size()) return;
    boost::system::error_code ignored;  // The client may have closed.
    asio::write(*connection, asio::buffer(answers_[answer][piece]), ignored);
    auto timer = std::make_shared<asio::steady_timer>(loop_.io(), kPieceDelay);
    timer->async_wait([this, timer, connection, answer, piece](const auto& error) {
      if (!error && connection->is_open()) Send(connection, answer, piece + 1);
    });
  }

  standins::LoopThread& loop_;
  const std::vector<Pieces> answers_;
  std::atomic<std::size_t> requests_{0};
  RawServer server_;  // Uses the members above.
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_SCRIPTED_SERVER_H_
