#include "damaskroute/crashguard/crash_gossip.h"

#include <algorithm>
#include <utility>

namespace damaskroute {

CrashGossip::Step CrashGossip::Next(bool changed, bool suspects, TimePoint now) {
  Step step;
  if (peers_.empty()) return step;
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
  count = std::min(count, chosen.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(chosen[i], chosen[i + random_.Below(chosen.size() - i)]);
  }
  chosen.resize(count);
  return chosen;
}

}  // namespace damaskroute
