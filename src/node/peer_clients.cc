#include "damaskroute/node/peer_clients.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Limit of the exchanges of this node with one peer.
constexpr int kMaxConnectionsPerPeer = 256;

}  // namespace

std::shared_ptr<BackendClient> PeerClients::ClientFor(const Endpoint& peer) {
  auto& client = clients_[peer];
  if (!client) {
    client = std::make_shared<BackendClient>(loop_, peer, kMaxConnectionsPerPeer, options_);
  }
  return client;
}

void PeerClients::RetainOnly(const std::vector<Peer>& peers) {
  std::erase_if(clients_, [&](const auto& entry) {
    return std::none_of(peers.begin(), peers.end(),
                        [&](const Peer& peer) { return peer.endpoint == entry.first; });
  });
}

}  // namespace damaskroute
