#ifndef DAMASKROUTE_ROSTER_ROSTER_CODEC_H
#define DAMASKROUTE_ROSTER_ROSTER_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Encodes a roster for the store and for peers. Equal rosters give equal bytes. About 60 bytes
/// per seat, so 7,600 seats fit into one value of the store (1 MB).
std::string EncodeRoster(const Roster& roster);

/// Reverse of `EncodeRoster`. Safe for untrusted bytes. InvalidArgument for anything that
/// `EncodeRoster` does not produce, seats out of order included.
absl::StatusOr<Roster> DecodeRoster(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_CODEC_H
