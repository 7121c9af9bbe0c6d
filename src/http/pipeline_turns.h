#ifndef DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_
#define DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace damaskroute::internal {

/// Limits how many pipelined requests of a server run at once, and serves the connections that
/// wait with such a request in turn. A client that sends requests without waiting for the responses
/// thus takes no more than a small, fixed part of the servers from other clients. Thread-safe.
class PipelineTurns {
 public:
  /// `begin` returns false if the connection no longer needs its turn.
  using Begin = std::function<bool()>;

  /// Identifies a connection that waits.
  using Ticket = std::uint64_t;

  /// Takes a turn and returns nullopt, or returns a ticket and calls `begin` later, when a turn is
  /// free.
  std::optional<Ticket> TakeOrWait(Begin begin) {
    std::lock_guard lock(mutex_);
    if (taken_ < kMaxTurns) {
      ++taken_;
      return std::nullopt;
    }
    waiting_.emplace(++last_ticket_, std::move(begin));
    return last_ticket_;
  }

  /// Removes a connection that no longer waits. No effect if its `begin` was called.
  void Cancel(Ticket ticket) {
    std::lock_guard lock(mutex_);
    waiting_.erase(ticket);
  }

  /// Number of connections that wait.
  std::size_t waiting() const {
    std::lock_guard lock(mutex_);
    return waiting_.size();
  }

  /// Returns a turn, which passes to the connection that has waited longest.
  void Return() {
    for (;;) {
      Begin next;
      {
        std::lock_guard lock(mutex_);
        if (waiting_.empty()) {
          --taken_;
          return;
        }
        next = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
      }
      if (next()) return;
    }
  }

 private:
  // Enough that clients which pipeline a few requests do not wait, and few beside the requests that
  // a server runs for ordinary clients.
  static constexpr std::size_t kMaxTurns = 8;

  mutable std::mutex mutex_;
  std::size_t taken_ = 0;
  Ticket last_ticket_ = 0;
  std::map<Ticket, Begin> waiting_;  // The one that has waited longest first.
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_
