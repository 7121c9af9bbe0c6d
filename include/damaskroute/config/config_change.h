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
  kBackendJoins,    ///< Declared anew.
  kBackendLeaves,   ///< Declared as leaving.
  kBackendReturns,  ///< Was leaving, serves again.
  kBackendRemoved,  ///< No longer declared.
  kBackendMoves,    ///< Other zone or address.
  kBackendLimits,   ///< Other slots, cold slots or connections.
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
  std::string text;     ///< Readable sentence.

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_CHANGE_H_
