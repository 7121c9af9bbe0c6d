#include "damaskroute/keys/configuration_age.h"

#include <algorithm>

namespace damaskroute {
namespace {

// A response to a watch that comes later than this after the end of the wait may have been sent
// before that end, for example by a store that cut the watch, and have waited on its way.
constexpr std::chrono::milliseconds kMaxLateness{1000};

}  // namespace

void ConfigurationAge::OnNoChanges(Duration sent, std::chrono::milliseconds wait,
                                   Duration received) {
  Duration held = received - sent;
  bool on_time = held >= wait && held <= wait + kMaxLateness;
  Prove(on_time ? sent + wait : sent);
}

void ConfigurationAge::OnFollowedNode(Duration sent, Duration age, Duration received) {
  Prove(std::min(sent - age, received));
}

std::optional<Duration> ConfigurationAge::At(Duration now) const {
  if (!certain_until_) return std::nullopt;
  return std::max(now - *certain_until_, Duration::zero());
}

void ConfigurationAge::Prove(Duration until) {
  if (!usable_) return;
  certain_until_ = std::max(certain_until_.value_or(until), until);
}

}  // namespace damaskroute
