#ifndef DAMASKROUTE_ROSTER_STORED_SEATS_H_
#define DAMASKROUTE_ROSTER_STORED_SEATS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Value of a zone's roster key.
struct StoredSeats {
  std::uint64_t version = 0;  ///< Grows with each write; 0 if the key does not exist.
  std::string value;
};

/// Roster made of two passes over all zone keys in the same order, the second begun after the
/// first had ended. Equal versions prove that all values were in force at the same time, so
/// rosters made this way are totally ordered, and the sum of the versions is their revision.
/// Aborted if a key changed between the passes (read again), InvalidArgument if a value is invalid,
/// DataLoss if a node has two seats.
absl::StatusOr<Roster> CombineZoneSeats(const std::vector<StoredSeats>& first,
                                        const std::vector<StoredSeats>& second);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_STORED_SEATS_H_
