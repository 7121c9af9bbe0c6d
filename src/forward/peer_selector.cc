#include "damaskroute/forward/peer_selector.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace damaskroute {

void PeerSelector::SetPeers(std::vector<Peer> peers) {
  peers_ = std::move(peers);
  std::erase_if(states_, [this](const auto& entry) {
    return entry.second.in_progress == 0 &&
           std::none_of(peers_.begin(), peers_.end(),
                        [&](const Peer& peer) { return peer.name == entry.first; });
  });
}

std::optional<Peer> PeerSelector::Choose(const std::string& route, const std::vector<Peer>& tried,
                                         TimePoint now) {
  if (peers_.empty() || tried.size() >= kMaxPeersPerRequest) return std::nullopt;
  auto is_tried = [&](const Peer& peer) {
    return std::any_of(tried.begin(), tried.end(),
                       [&](const Peer& other) { return other.name == peer.name; });
  };
  auto zone_failed = [&](const Peer& peer) {
    return std::any_of(tried.begin(), tried.end(),
                       [&](const Peer& other) { return other.zone == peer.zone; });
  };
  const Peer* best = nullptr;
  const Peer* in_failed_zone = nullptr;
  int compared = 0;
  std::size_t start = random_.Below(peers_.size());
  // A step that is coprime to the number of peers visits each of them once, in a random order.
  std::size_t step = peers_.size() == 1 ? 1 : 1 + random_.Below(peers_.size() - 1);
  while (std::gcd(step, peers_.size()) != 1) ++step;
  for (std::size_t i = 0; i < peers_.size() && compared < 2; ++i) {
    const Peer& peer = peers_[(start + i * step) % peers_.size()];
    if (is_tried(peer) || IsAvoided(peer, route, now)) continue;
    if (zone_failed(peer)) {
      if (in_failed_zone == nullptr) in_failed_zone = &peer;
      continue;
    }
    ++compared;
    if (best == nullptr || InProgress(peer) < InProgress(*best)) best = &peer;
  }
  if (best == nullptr) best = in_failed_zone;
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void PeerSelector::OnEnded(const Peer& peer, PeerOutcome outcome, const std::string& route,
                           TimePoint now) {
  State& state = states_[peer.name];
  --state.in_progress;
  switch (outcome) {
    case PeerOutcome::kServed:
    case PeerOutcome::kCancelled:
      break;
    case PeerOutcome::kNotServable:
      std::erase_if(state.route_avoided_until,
                    [now](const auto& entry) { return entry.second <= now; });
      state.route_avoided_until[route] = now + kAvoidTime;
      break;
    case PeerOutcome::kNotReached:
    case PeerOutcome::kLost:
      state.avoided_until = now + kAvoidTime;
      break;
  }
}

int PeerSelector::InProgress(const Peer& peer) const {
  auto found = states_.find(peer.name);
  return found == states_.end() ? 0 : found->second.in_progress;
}

bool PeerSelector::IsAvoided(const Peer& peer, const std::string& route, TimePoint now) const {
  auto found = states_.find(peer.name);
  if (found == states_.end()) return false;
  const State& state = found->second;
  auto avoided = state.route_avoided_until.find(route);
  return now < state.avoided_until ||
         (avoided != state.route_avoided_until.end() && now < avoided->second);
}

}  // namespace damaskroute
