#ifndef DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_
#define DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Names of the members whose latest updates are still being disseminated, least often sent first.
/// Holds one entry per member, so its size is bounded by that of the member table.
class UpdateQueue {
 public:
  /// Queues the latest update of the member, replacing an older one, with a send count of zero.
  void Add(const NodeName& node);

  void Remove(const NodeName& node);

  /// Calls `take(node)` for the names in order until it returns false, and counts a send for each
  /// name for which it returned true. Names that were sent `limit` times are removed.
  template <typename Take>
  void Select(std::size_t limit, Take take) {
    std::vector<NodeName> taken;
    for (const auto& [order, node] : by_count_) {
      if (!take(node)) break;
      taken.push_back(node);
    }
    for (const NodeName& node : taken) CountSend(node, limit);
  }

  std::size_t size() const { return orders_.size(); }

 private:
  struct Order {
    std::size_t times_sent = 0;
    std::uint64_t serial = 0;  // Among equal counts, newer updates come first.

    friend bool operator<(const Order& a, const Order& b) {
      return a.times_sent != b.times_sent ? a.times_sent < b.times_sent : a.serial > b.serial;
    }
  };

  void CountSend(const NodeName& node, std::size_t limit);

  std::uint64_t next_serial_ = 0;
  std::map<Order, NodeName> by_count_;
  std::unordered_map<NodeName, Order> orders_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_
