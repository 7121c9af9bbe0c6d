#ifndef DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_
#define DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_

#include <cstdint>

namespace damaskroute {

/// Effect of an entry on the directory's state of a backend server.
enum class DirectoryChange : std::uint8_t {
  kNone,      ///< The entry is older or equal.
  kAdded,     ///< A new server.
  kUpdated,   ///< The same incarnation with other data.
  kReplaced,  ///< Another incarnation or address; the old one's statistics are invalid.
  kRemoved,   ///< The server no longer exists.
  kDelayed,   ///< The entry of a removed server, perhaps from an older copy of the store.
  kRetained,  ///< The entry is missing, perhaps only because of an outage of the store.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_
