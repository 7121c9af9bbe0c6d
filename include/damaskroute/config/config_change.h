#ifndef DAMASKROUTE_CONFIG_CONFIG_CHANGE_H_
#define DAMASKROUTE_CONFIG_CONFIG_CHANGE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace damaskroute {

/// Kind of a difference between two configurations.
enum class ChangeKind : std::uint8_t {
  kZoneAdded,
  kZoneRemoved,
  kZoneOut,
  kZoneBack,
  kZoneChanged,
  kServiceAdded,
  kServiceRemoved,
  kServiceChanged,
  kBackendJoins,    ///< Newly declared.
  kBackendLeaves,   ///< Declared as leaving.
  kBackendReturns,  ///< Declared as serving after it was leaving.
  kBackendRemoved,  ///< No longer declared.
  kBackendMoves,    ///< Its zone or address changes.
  kBackendLimits,   ///< Its slots, cold slots or connections change.
  kFrontAdded,
  kFrontRemoved,
  kFrontChanged,
  kObjectiveChanged,
};

/// Name used in JSON, for example `zone_out`.
std::string_view ChangeKindName(ChangeKind kind);

/// One difference between two configurations.
struct ConfigChange {
  ChangeKind kind = ChangeKind::kZoneAdded;
  std::string subject;  ///< Name of the zone, service, backend server or front.
  std::string text;     ///< Description for operators.

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_CHANGE_H_
