#include "damaskroute/forward/peer_selector.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace damaskroute {
namespace {

bool Contains(const std::vector<Peer>& peers, const NodeName& name) {
  return std::any_of(peers.begin(), peers.end(),
                     [&](const Peer& peer) { return peer.name == name; });
}

}  // namespace

void PeerSelector::SetPeers(std::vector<Peer> peers) {
  peers_ = std::move(peers);
  for (auto& [route, serving] : serving_) {
    std::erase_if(serving, [this](const Serving& entry) {
      return std::find(peers_.begin(), peers_.end(), entry.peer) == peers_.end();
    });
  }
  std::erase_if(states_, [this](const auto& entry) {
    return entry.second.in_progress == 0 && !Contains(peers_, entry.first);
  });
}

std::optional<Peer> PeerSelector::Choose(const std::string& route, const std::vector<Peer>& tried,
                                         const NodeName& suggested, TimePoint now) {
  if (peers_.empty() || tried.size() >= kMaxPeersPerRequest) return std::nullopt;
  // The first peer is chosen at random, and suggestions come before what this node has seen itself,
  // as otherwise few peers would do all the work.
  if (!tried.empty()) {
    auto found = std::find_if(peers_.begin(), peers_.end(),
                              [&](const Peer& peer) { return peer.name == suggested; });
    if (found != peers_.end() && !Contains(tried, suggested) && !IsAvoided(*found, route, now)) {
      return *found;
    }
    if (auto serving = ChooseServing(route, tried, now)) return serving;
  }
  return ChooseAny(route, tried, now);
}

std::optional<Peer> PeerSelector::ServingPeer(const std::string& route, TimePoint now) {
  auto found = serving_.find(route);
  if (found == serving_.end()) return std::nullopt;
  std::erase_if(found->second,
                [now](const Serving& entry) { return now - entry.served_at > kServingMemory; });
  if (found->second.empty()) return std::nullopt;
  return found->second[random_.Below(found->second.size())].peer;
}

std::optional<Peer> PeerSelector::ChooseServing(const std::string& route,
                                                const std::vector<Peer>& tried, TimePoint now) {
  auto found = serving_.find(route);
  if (found == serving_.end()) return std::nullopt;
  const Peer* best = nullptr;
  for (const auto& [peer, served_at] : found->second) {
    if (now - served_at > kServingMemory || Contains(tried, peer.name)) continue;
    if (IsAvoided(peer, route, now)) continue;
    if (best == nullptr || InProgress(peer) < InProgress(*best)) best = &peer;
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<Peer> PeerSelector::ChooseAny(const std::string& route,
                                            const std::vector<Peer>& tried, TimePoint now) {
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
    if (Contains(tried, peer.name) || IsAvoided(peer, route, now)) continue;
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
      OnServed(peer, route, now);
      break;
    case PeerOutcome::kCancelled:
      break;
    case PeerOutcome::kNotServable:
      std::erase_if(state.route_avoided_until,
                    [now](const auto& entry) { return entry.second <= now; });
      state.route_avoided_until[route] = now + kAvoidTime;
      ForgetServed(peer, route);
      break;
    case PeerOutcome::kNotReached:
    case PeerOutcome::kLost:
      state.avoided_until = now + kAvoidTime;
      for (const auto& [name, serving] : serving_) ForgetServed(peer, name);
      break;
  }
}

void PeerSelector::OnServed(const Peer& peer, const std::string& route, TimePoint now) {
  ForgetServed(peer, route);
  std::vector<Serving>& serving = serving_[route];
  if (serving.size() == kMaxServingPeers) serving.erase(serving.begin());
  serving.push_back({peer, now});
}

void PeerSelector::ForgetServed(const Peer& peer, const std::string& route) {
  std::erase_if(serving_[route],
                [&](const Serving& entry) { return entry.peer.name == peer.name; });
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
