#include "damaskroute/peer/replay_window.h"

namespace damaskroute {

bool ReplayWindow::Accept(const NodeName& sender, Incarnation incarnation, std::uint64_t sequence) {
  auto it = senders_.find(sender);
  if (it == senders_.end() || incarnation > it->second.incarnation) {
    if (it == senders_.end() && senders_.size() >= max_senders_) return false;
    senders_[sender] = {incarnation, sequence, 1};
    return true;
  }
  Window& window = it->second;
  if (incarnation < window.incarnation) return false;
  if (sequence > window.greatest) {
    std::uint64_t shift = sequence - window.greatest;
    window.seen = (shift < 64 ? window.seen << shift : 0) | 1;
    window.greatest = sequence;
    return true;
  }
  std::uint64_t age = window.greatest - sequence;
  if (age >= 64) return false;
  std::uint64_t bit = std::uint64_t{1} << age;
  if ((window.seen & bit) != 0) return false;
  window.seen |= bit;
  return true;
}

}  // namespace damaskroute
