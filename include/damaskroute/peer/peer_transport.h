#ifndef DAMASKROUTE_PEER_PEER_TRANSPORT_H_
#define DAMASKROUTE_PEER_PEER_TRANSPORT_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/peer/peer_counters.h"
#include "damaskroute/peer/peer_identity.h"
#include "damaskroute/peer/peer_keys.h"
#include "damaskroute/peer/peer_transport_options.h"

namespace damaskroute {

namespace internal {
class PeerLoop;
}

/// Called on the thread of the event loop.
struct PeerHandlers {
  std::function<void(const PeerContext& from, Message message)> on_message;

  /// The connection to or from the endpoint broke, could not be opened or its queue overflowed.
  /// Messages sent before may be lost. May be called more than once for one failure.
  std::function<void(const Endpoint& endpoint)> on_peer_lost;
};

/// Authenticated messages between nodes over TCP. For each peer there is one connection for the
/// messages that go out and, opened by the peer, one for those that come in; so messages to one
/// peer arrive in order. Delivery is not confirmed. Contents are authenticated, not encrypted.
class PeerTransport {
 public:
  /// `loop` is run by the owner on a single thread. Port 0 in `self.endpoint` lets `Listen` choose
  /// one. `keys` must be valid.
  PeerTransport(asio::io_context& loop, PeerIdentity self, PeerKeys keys, PeerHandlers handlers,
                PeerTransportOptions options = {});

  /// Closes all connections. Called on the loop's thread, or while the loop does not run.
  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Opens the listening socket. Unavailable if the address cannot be bound.
  absl::Status Listen();

  /// Own endpoint, with the chosen port after `Listen`.
  Endpoint endpoint() const;

  /// Queues a message and opens a connection if there is none. Thread-safe. Messages queued in the
  /// same turn of the loop go out in one write. A message above `kMaxMessageSize` is dropped and
  /// reported as a lost peer.
  void Send(const Endpoint& to, const Message& message);

  /// Breaks the connections to the endpoint and reports the peer as lost, for a peer that the
  /// membership has declared dead. Thread-safe.
  void Disconnect(const Endpoint& endpoint);

  /// Replaces the keys for new connections. Thread-safe.
  void SetKeys(PeerKeys keys);

  /// Closes idle connections and those that are late with the handshake. Runs every 500 ms by
  /// itself; on the loop's thread only.
  void CloseExpired();

  const PeerCounters& counters() const;

 private:
  std::shared_ptr<internal::PeerLoop> impl_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_TRANSPORT_H_
