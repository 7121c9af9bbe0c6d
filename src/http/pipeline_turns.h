#ifndef DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_
#define DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace damaskroute::internal {

/// Limits how many pipelined requests of a server run at once, and serves the connections that
/// wait with such a request in turn. A client that sends requests without waiting for the responses
/// thus takes no more than a small, fixed part of the servers from other clients. Thread-safe.
class PipelineTurns {
 public:
  /// `begin` returns false if the connection no longer needs its turn.
  using Begin = std::function<bool()>;

  /// Takes a turn and returns true, or returns false and calls `begin` later, when a turn is free.
  bool TryTake(Begin begin) {
    std::lock_guard lock(mutex_);
    if (taken_ < kMaxTurns) {
      ++taken_;
      return true;
    }
    waiting_.push_back(std::move(begin));
    return false;
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
        next = std::move(waiting_.front());
        waiting_.pop_front();
      }
      if (next()) return;
    }
  }

 private:
  // Enough that clients which pipeline a few requests do not wait, and few beside the requests that
  // a server runs for ordinary clients.
  static constexpr std::size_t kMaxTurns = 8;

  std::mutex mutex_;
  std::size_t taken_ = 0;
  std::deque<Begin> waiting_;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_PIPELINE_TURNS_H_
