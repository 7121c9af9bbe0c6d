#include "damaskroute/node/peer_clients.h"

#include <algorithm>
#include <utility>

namespace damaskroute {
namespace {

// Limit of the exchanges of this node with one peer.
constexpr int kMaxConnectionsPerPeer = 256;

}  // namespace

PeerClients::PeerClients(asio::io_context& loop, BackendClientOptions options)
    : loop_(loop), options_(std::move(options)) {
  if (!options_.connection_budget) return;
  options_.connection_budget->SetCloseIdle([this] {
    for (const auto& [peer, client] : clients_) {
      if (client->CloseIdleConnections() > 0) return;
    }
  });
}

PeerClients::~PeerClients() {
  if (options_.connection_budget) options_.connection_budget->SetCloseIdle(nullptr);
}

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
