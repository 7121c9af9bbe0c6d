#ifndef DAMASKROUTE_SRC_HTTP_WAITING_CONNECTIONS_H_
#define DAMASKROUTE_SRC_HTTP_WAITING_CONNECTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <iterator>
#include <list>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute::internal {

/// The connections of a server by what they wait for, and which of them is closed for a new one if
/// the server has as many as it may have. Thread-safe.
class WaitingConnections {
 public:
  /// Closes a connection.
  using Close = std::function<void()>;

  struct Entry {
    Close close;
    TimePoint since;           // When it began to wait for its client.
    std::size_t requests = 0;  // Number of requests that it has sent.
  };
  using Position = std::list<Entry>::iterator;

  /// Adds a new connection, which waits for the first request.
  Position Add(Close close, TimePoint now) {
    std::lock_guard lock(mutex_);
    return new_.insert(new_.end(), {std::move(close), now});
  }

  /// A request of the connection is running; it is not closed for another one.
  void SetServing(Position position) {
    std::lock_guard lock(mutex_);
    serving_.splice(serving_.end(), ListOf(*position, position->since), position);
    ++position->requests;
    position->since = TimePoint::max();
  }

  /// The connection waits for its client to read the response or to send the next request, or has
  /// received the first bytes of that request. Requires a request before.
  void SetWaiting(Position position, TimePoint now) {
    std::lock_guard lock(mutex_);
    auto& list = position->requests > 1 ? known_ : once_;
    list.splice(list.end(), ListOf(*position, position->since), position);
    position->since = now;
  }

  void Remove(Position position) {
    std::lock_guard lock(mutex_);
    ListOf(*position, position->since).erase(position);
  }

  /// How to close each connection of the server.
  std::vector<Close> All() {
    std::lock_guard lock(mutex_);
    std::vector<Close> all;
    for (const auto* list : {&new_, &once_, &known_, &serving_}) {
      for (const Entry& entry : *list) all.push_back(entry.close);
    }
    return all;
  }

  /// Returns how to close the connection that has waited longest: first one that has never sent a
  /// request, then one that has sent one, then any other. Nullopt if none has waited for
  /// `kMinWait`.
  std::optional<Close> TakeOldest(TimePoint now) {
    std::lock_guard lock(mutex_);
    for (auto* list : {&new_, &once_, &known_}) {
      if (list->empty() || now - list->front().since < kMinWait) continue;
      // At the end of the list while it is being closed.
      Entry& entry = list->front();
      entry.since = now;
      Close close = entry.close;
      list->splice(list->end(), *list, list->begin());
      return close;
    }
    return std::nullopt;
  }

 private:
  // A client that has just connected needs a moment for its first request. Without this time, many
  // ordinary clients that connect at once would close each other's connections.
  static constexpr std::chrono::milliseconds kMinWait{100};

  std::list<Entry>& ListOf(const Entry& entry, TimePoint since) {
    if (since == TimePoint::max()) return serving_;
    if (entry.requests == 0) return new_;
    return entry.requests == 1 ? once_ : known_;
  }

  std::mutex mutex_;
  std::list<Entry> new_;    // Have sent no request yet; the oldest first.
  std::list<Entry> once_;   // Wait after the first response; the oldest first.
  std::list<Entry> known_;  // Wait after a later response; the oldest first.
  std::list<Entry> serving_;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_WAITING_CONNECTIONS_H_
