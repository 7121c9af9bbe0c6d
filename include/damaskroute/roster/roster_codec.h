#ifndef DAMASKROUTE_ROSTER_ROSTER_CODEC_H_
#define DAMASKROUTE_ROSTER_ROSTER_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Limits of encoded rosters. The store accepts values up to 1 MB, peers messages up to 16 MB.
inline constexpr std::size_t kMaxRosterBytes = std::size_t{8} << 20;
inline constexpr std::size_t kMaxRosterEntries = 50'000;
inline constexpr std::size_t kMaxRosterNameLength = 64;
inline constexpr std::size_t kMaxRosterZones = 255;

/// Whether `EncodeRoster` can encode the entry: names of 1 to `kMaxRosterNameLength` bytes, an IP
/// address and a port.
bool IsEncodable(const RosterEntry& entry);

/// Binary form of a roster whose entries are sorted by node name, encodable, and in at most
/// `kMaxRosterZones` zones. Names omit the prefix that they share with the previous name, and zones
/// and addresses are stored as numbers. An entry takes about 23 bytes, so a roster of 7,600 entries
/// stays far below the 1 MB limit of the store.
std::string EncodeRoster(const Roster& roster);

/// Inverse of `EncodeRoster`. InvalidArgument if the bytes are malformed or exceed a limit, or if
/// the entries are not sorted by unique node names.
absl::StatusOr<Roster> DecodeRoster(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_CODEC_H_
