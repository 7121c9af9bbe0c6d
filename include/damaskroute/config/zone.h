#ifndef DAMASKROUTE_CONFIG_ZONE_H_
#define DAMASKROUTE_CONFIG_ZONE_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Whether operators want an availability zone to serve.
enum class ZoneState : std::uint8_t {
  kServing,  ///< Backend servers in the zone receive calls.
  kOut,      ///< Backend servers in the zone receive no new calls.
};

/// An availability zone as declared by operators.
struct Zone {
  ZoneName name;
  std::string region;
  ZoneState state = ZoneState::kServing;

  friend bool operator==(const Zone&, const Zone&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_ZONE_H_
