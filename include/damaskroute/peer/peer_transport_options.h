#ifndef DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_
#define DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Limits of a `PeerTransport`.
struct PeerTransportOptions {
  /// Timeout for opening a connection, including the handshake.
  std::chrono::milliseconds connect_timeout{1000};

  /// A connection is broken when data stays unacknowledged for this long. Without this timeout, a
  /// peer whose VM has disappeared would be detected only by the kernel's retransmission limit,
  /// after many minutes.
  std::chrono::milliseconds unacknowledged_timeout{3000};

  /// A connection is closed after this time without messages.
  std::chrono::seconds idle_timeout{60};

  /// Maximum size of the encoded messages queued for one peer. A larger queue means that the peer
  /// does not read.
  std::size_t max_queue_bytes = std::size_t{64} << 20;

  /// Maximum number of accepted connections that have not completed the handshake.
  std::size_t max_unauthenticated = 256;

  /// Maximum number of accepted connections, one for each peer that sends to this node.
  std::size_t max_accepted = 16384;

  /// Clock of the timeouts above.
  std::function<TimePoint()> now = [] { return SteadyClock().Now(); };
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_
