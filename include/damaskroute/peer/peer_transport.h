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

/// Callbacks of a `PeerTransport`, called on the loop's thread.
struct PeerHandlers {
  std::function<void(const PeerContext& from, Message message)> on_message;

  /// The connection to or from the endpoint broke or could not be opened, or its queue overflowed.
  /// Messages sent earlier may be lost. May be called more than once for one failure.
  std::function<void(const Endpoint& endpoint)> on_peer_lost;
};

/// Exchanges authenticated messages between nodes over TCP. Each peer has one connection for
/// outgoing messages, opened by this node, and one for incoming messages, opened by the peer, so
/// messages to a peer arrive in order. Delivery is not acknowledged. Contents are authenticated but
/// not encrypted.
class PeerTransport {
 public:
  /// `loop` must run on a single thread and `keys` must be valid. With port 0 in `self.endpoint`,
  /// `Listen` chooses a port.
  PeerTransport(asio::io_context& loop, PeerIdentity self, PeerKeys keys, PeerHandlers handlers,
                PeerTransportOptions options = {});

  /// Closes all connections. Must run on the loop's thread, or while the loop is not running.
  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Opens the listening socket. Unavailable if the address cannot be bound.
  absl::Status Listen();

  /// Local endpoint, with the chosen port after `Listen`.
  Endpoint endpoint() const;

  /// Queues a message and opens a connection if there is none. Thread-safe. Messages queued in the
  /// same iteration of the loop are sent in one write. A message larger than `kMaxMessageSize` is
  /// dropped and the peer reported as lost.
  void Send(const Endpoint& to, const Message& message);

  /// Closes the connections to and from the endpoint and reports the peer as lost. Used for peers
  /// that membership has declared dead. Thread-safe.
  void Disconnect(const Endpoint& endpoint);

  /// Replaces the keys for new connections. Thread-safe.
  void SetKeys(PeerKeys keys);

  /// Closes idle connections and those whose handshake timed out. Runs periodically; may be called
  /// explicitly on the loop's thread.
  void CloseExpired();

  const PeerCounters& counters() const;

 private:
  std::shared_ptr<internal::PeerLoop> impl_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_TRANSPORT_H_
