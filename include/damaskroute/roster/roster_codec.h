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
inline constexpr std::size_t kMaxRosterZones = 255;

/// Whether `EncodeRoster` can write the seat: names of 1 to `kMaxSeatNameLength` bytes, an IP
/// address and a port.
bool IsEncodable(const Seat& seat);

/// Binary form of a roster whose seats are sorted by node, encodable, and in at most
/// `kMaxRosterZones` zones. Neighbouring names share their prefix, and zones and addresses are
/// numbers: some 23 bytes for each seat, so that 7,600 seats are far from the limit of 1 MB.
std::string EncodeRoster(const Roster& roster);

/// Reverse of `EncodeRoster`. InvalidArgument if the bytes are not of that form, break a bound, or
/// the seats are not sorted by unique node names.
absl::StatusOr<Roster> DecodeRoster(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_CODEC_H_
