#ifndef DAMASKROUTE_PLACEMENT_SHARE_H_
#define DAMASKROUTE_PLACEMENT_SHARE_H_

#include "damaskroute/config/backend_server.h"

namespace damaskroute {

/// Half of the limits of a backend server. Each half is owned by one node at a time; a single
/// holder owns both.
enum class ShareHalf : std::uint8_t {
  kFirst,   ///< Rounded up. Only its owner may call the backend server while it is cold.
  kSecond,  ///< Rounded down.
};

inline constexpr ShareHalf kShareHalves[] = {ShareHalf::kFirst, ShareHalf::kSecond};

/// Share of a backend server's limits that a node may use.
struct Share {
  int slots = 0;
  int connections = 0;
  bool first = false;  ///< Contains the first half.
  int cold_slots = 0;  ///< Slots while the backend server is cold; 0 without the first half.

  friend bool operator==(const Share&, const Share&) = default;
};

/// Returns the sum of the given halves of the limits of `backend`.
constexpr Share ShareOfHalves(const BackendServer& backend, bool first, bool second) {
  Share share;
  if (first) {
    share.slots += (backend.slots + 1) / 2;
    share.connections += (backend.connections + 1) / 2;
  }
  if (second) {
    share.slots += backend.slots / 2;
    share.connections += backend.connections / 2;
  }
  share.first = first;
  share.cold_slots = !first                             ? 0
                     : backend.cold_slots < share.slots ? backend.cold_slots
                                                        : share.slots;
  return share;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_PLACEMENT_SHARE_H_
