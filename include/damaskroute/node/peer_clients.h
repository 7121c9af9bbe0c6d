#ifndef DAMASKROUTE_NODE_PEER_CLIENTS_H_
#define DAMASKROUTE_NODE_PEER_CLIENTS_H_

#include <map>
#include <memory>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/forward/peer.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/http/backend_client_options.h"

namespace damaskroute {

/// The connections of a node to its peers. Must only be used on its event loop.
class PeerClients {
 public:
  PeerClients(asio::io_context& loop, BackendClientOptions options);
  ~PeerClients();
  PeerClients(const PeerClients&) = delete;
  PeerClients& operator=(const PeerClients&) = delete;

  /// Returns the client for a peer. A caller that starts an exchange keeps it until the end.
  std::shared_ptr<BackendClient> ClientFor(const Endpoint& peer);

  /// Closes the connections to all nodes that are not in `peers`.
  void RetainOnly(const std::vector<Peer>& peers);

 private:
  asio::io_context& loop_;
  const BackendClientOptions options_;
  std::map<Endpoint, std::shared_ptr<BackendClient>> clients_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_PEER_CLIENTS_H_
