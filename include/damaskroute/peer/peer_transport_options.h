#ifndef DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_
#define DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Limits of a `PeerTransport`.
struct PeerTransportOptions {
  /// For opening a connection, handshake included.
  std::chrono::milliseconds connect_timeout{1000};

  /// Unacknowledged data for this long breaks a connection. Without it a peer whose VM vanished
  /// would be noticed only by the retransmission limit of the kernel, after many minutes.
  std::chrono::milliseconds unacknowledged_timeout{3000};

  /// A connection without messages in this time is closed.
  std::chrono::seconds idle_timeout{60};

  /// Encoded messages waiting for one peer. More than this means that the peer does not read.
  std::size_t max_queue_bytes = std::size_t{64} << 20;

  /// Accepted connections that have not completed the handshake.
  std::size_t max_unauthenticated = 256;

  /// Accepted connections, one for each peer that sends here.
  std::size_t max_accepted = 16384;

  /// Source of time for the timeouts above.
  std::function<TimePoint()> now = [] { return SteadyClock().Now(); };
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_TRANSPORT_OPTIONS_H_
