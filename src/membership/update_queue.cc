#include "damaskroute/membership/update_queue.h"

namespace damaskroute {

void UpdateQueue::Add(const NodeName& node) {
  Remove(node);
  Order order{0, next_serial_++};
  orders_[node] = order;
  by_count_[order] = node;
}

void UpdateQueue::Remove(const NodeName& node) {
  auto it = orders_.find(node);
  if (it == orders_.end()) return;
  by_count_.erase(it->second);
  orders_.erase(it);
}

void UpdateQueue::CountSend(const NodeName& node, std::size_t limit) {
  Order order = orders_[node];
  Remove(node);
  if (++order.times_sent >= limit) return;
  orders_[node] = order;
  by_count_[order] = node;
}

}  // namespace damaskroute
