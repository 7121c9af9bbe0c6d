#ifndef DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_
#define DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Names of the members whose news are still to be told, least often told first. One entry for
/// each member, so the size is bounded by the table.
class UpdateQueue {
 public:
  /// Tells the news about the member from the start; replaces older news.
  void Add(const NodeName& node);

  void Remove(const NodeName& node);

  /// Calls `take(node)` for the least often told names until it returns false, and counts each
  /// name for which it returned true. Names told `limit` times are removed.
  template <typename Take>
  void Select(std::size_t limit, Take take) {
    std::vector<NodeName> told;
    for (const auto& [order, node] : by_count_) {
      if (!take(node)) break;
      told.push_back(node);
    }
    for (const NodeName& node : told) CountUp(node, limit);
  }

  std::size_t size() const { return orders_.size(); }

 private:
  struct Order {
    std::size_t times_told = 0;
    std::uint64_t serial = 0;  // Newer news first among those told equally often.

    friend bool operator<(const Order& a, const Order& b) {
      return a.times_told != b.times_told ? a.times_told < b.times_told : a.serial > b.serial;
    }
  };

  void CountUp(const NodeName& node, std::size_t limit);

  std::uint64_t next_serial_ = 0;
  std::map<Order, NodeName> by_count_;
  std::unordered_map<NodeName, Order> orders_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_UPDATE_QUEUE_H_
