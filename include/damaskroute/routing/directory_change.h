#ifndef DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_
#define DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_

#include <cstdint>

namespace damaskroute {

/// Effect of an entry on what is known of a backend server.
enum class DirectoryChange : std::uint8_t {
  kNone,      ///< Old or equal.
  kAdded,     ///< A server that was not known.
  kUpdated,   ///< The same incarnation with other data.
  kReplaced,  ///< Another incarnation or address: what was learnt of the old one does not hold.
  kRemoved,   ///< The server is gone.
  kHeld,      ///< The entry is missing, perhaps only because the store was away.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_DIRECTORY_CHANGE_H_
