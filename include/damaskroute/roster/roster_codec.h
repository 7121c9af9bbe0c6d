#ifndef DAMASKROUTE_ROSTER_ROSTER_CODEC_H_
#define DAMASKROUTE_ROSTER_ROSTER_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Bounds for encoded rosters; a value of the store has at most 1 MB, a message 16 MB.
inline constexpr std::size_t kMaxRosterBytes = std::size_t{8} << 20;
inline constexpr std::size_t kMaxSeats = 50'000;
inline constexpr std::size_t kMaxSeatNameLength = 64;

/// JSON text of a roster, or of the seats of one zone.
std::string EncodeRoster(const Roster& roster);

/// Reverse of `EncodeRoster`. InvalidArgument if the text is not JSON of that form, breaks a
/// bound, has an invalid address, or its seats are not sorted by unique node names.
absl::StatusOr<Roster> DecodeRoster(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_CODEC_H_
