#include "damaskroute/forward/isolation.h"

#include <chrono>

namespace damaskroute {
namespace {

// A probe opens one connection without a call, which does not count against the store's call limit.
constexpr std::chrono::milliseconds kProbeInterval{500};

}  // namespace

bool Isolation::OnShardsReachable(bool reachable, TimePoint now) {
  shards_reachable_ = reachable;
  if (reachable || probing_ || now < next_probe_at_) return false;
  probing_ = true;
  next_probe_at_ = now + kProbeInterval;
  return true;
}

void Isolation::OnStoreProbed(bool reachable) {
  probing_ = false;
  store_reachable_ = reachable;
}

}  // namespace damaskroute
