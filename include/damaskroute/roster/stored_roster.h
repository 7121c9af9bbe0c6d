#ifndef DAMASKROUTE_ROSTER_STORED_ROSTER_H_
#define DAMASKROUTE_ROSTER_STORED_ROSTER_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Value of the roster key in the store.
struct StoredRoster {
  std::uint64_t version = 0;  ///< Increases with each write; 0 if the key does not exist.
  std::string value;          ///< See `EncodeRoster`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_STORED_ROSTER_H_
