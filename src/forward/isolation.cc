#include "damaskroute/forward/isolation.h"

#include <chrono>

namespace damaskroute {
namespace {

// A probe is one new connection without a call, which the store does not count.
constexpr std::chrono::milliseconds kProbeInterval{500};

}  // namespace

bool Isolation::OnShards(bool reached, TimePoint now) {
  shards_reached_ = reached;
  if (reached || probing_ || now < next_probe_) return false;
  probing_ = true;
  next_probe_ = now + kProbeInterval;
  return true;
}

void Isolation::OnProbe(bool reached) {
  probing_ = false;
  store_reached_ = reached;
}

}  // namespace damaskroute
