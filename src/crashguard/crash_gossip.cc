#include "damaskroute/crashguard/crash_gossip.h"

#include <algorithm>
#include <utility>

namespace damaskroute {

namespace {

// Moves `count` random elements to the front and removes the others.
template <typename T>
void Sample(std::vector<T>& elements, std::size_t count, Random& random) {
  count = std::min(count, elements.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(elements[i], elements[i + random.Below(elements.size() - i)]);
  }
  elements.erase(elements.begin() + static_cast<std::ptrdiff_t>(count), elements.end());
}

}  // namespace

void CrashGossip::SetPeers(std::vector<Peer> peers, TimePoint now) {
  auto is_listed = [&peers](const Peer& peer) {
    return std::any_of(peers.begin(), peers.end(),
                       [&](const Peer& listed) { return listed.name == peer.name; });
  };
  std::erase_if(unlisted_, [&](const UnlistedPeer& unlisted) {
    return now >= unlisted.until || is_listed(unlisted.peer);
  });
  for (Peer& peer : peers_) {
    if (is_listed(peer) || unlisted_.size() >= kMaxUnlistedPeers) continue;
    unlisted_.push_back({std::move(peer), now + kUnlistedPeerTime});
  }
  peers_ = std::move(peers);
}

CrashGossip::Step CrashGossip::Next(bool changed, bool suspects, TimePoint now) {
  Step step;
  std::erase_if(unlisted_, [&](const UnlistedPeer& unlisted) { return now >= unlisted.until; });
  if (peers_.empty() && unlisted_.empty()) return step;
  if (changed) {
    if (now >= next_push_) {
      step.push_to = RandomPeers(kFanOut);
      next_push_ = now + kMinPushInterval;
    }
    // More changes may remain than one round sends.
    step.next = next_push_;
  }
  if (suspects || !synced_) {
    if (now >= next_sync_) {
      step.sync_with = RandomPeers(std::exchange(asked_, true) ? 1 : kFanOut);
      next_sync_ = now + kSyncInterval;
    }
    step.next = std::min(step.next, next_sync_);
  }
  return step;
}

std::vector<Peer> CrashGossip::RandomPeers(std::size_t count) {
  std::vector<Peer> chosen = peers_;
  Sample(chosen, count, random_);
  std::vector<UnlistedPeer> unlisted = unlisted_;
  Sample(unlisted, count, random_);
  for (UnlistedPeer& peer : unlisted) chosen.push_back(std::move(peer.peer));
  return chosen;
}

}  // namespace damaskroute
