#ifndef DAMASKROUTE_PEER_PEER_COUNTERS_H_
#define DAMASKROUTE_PEER_PEER_COUNTERS_H_

#include <atomic>
#include <cstdint>

namespace damaskroute {

/// Cumulative counters of a `PeerTransport`; readable from any thread.
struct PeerCounters {
  std::atomic<std::uint64_t> messages_sent{0};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> writes{0};  ///< Write operations; each carries one or more messages.
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> peers_lost{0};
  std::atomic<std::uint64_t> refused{0};    ///< Connections closed on a failed handshake.
  std::atomic<std::uint64_t> malformed{0};  ///< Connections closed on an invalid frame or message.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_COUNTERS_H_
