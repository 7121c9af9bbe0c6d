#ifndef DAMASKROUTE_ROSTER_STORED_SEATS_H_
#define DAMASKROUTE_ROSTER_STORED_SEATS_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Value of the roster key.
struct StoredSeats {
  std::uint64_t version = 0;  ///< Grows with each write; 0 if the key does not exist.
  std::string value;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_STORED_SEATS_H_
