#ifndef DAMASKROUTE_PEER_REPLAY_WINDOW_H_
#define DAMASKROUTE_PEER_REPLAY_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Detects datagrams that were received before. For each sender, records the greatest sequence
/// number and which of the 64 numbers up to it were received; older numbers are rejected.
class ReplayWindow {
 public:
  /// Senders beyond the limit are rejected, which bounds the memory.
  explicit ReplayWindow(std::size_t max_senders = 16384) : max_senders_(max_senders) {}

  /// Whether the authenticated datagram is new. Records it if so. A greater incarnation starts a
  /// new window; a smaller one is rejected.
  bool Accept(const NodeName& sender, Incarnation incarnation, std::uint64_t sequence);

  /// Removes the window of a sender.
  void Forget(const NodeName& sender) { senders_.erase(sender); }

 private:
  struct Window {
    Incarnation incarnation = 0;
    std::uint64_t greatest = 0;
    std::uint64_t seen = 0;  // Bit i: greatest - i has been received.
  };

  std::size_t max_senders_;
  std::unordered_map<NodeName, Window> senders_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_REPLAY_WINDOW_H_
