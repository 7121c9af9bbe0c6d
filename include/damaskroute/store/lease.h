#ifndef DAMASKROUTE_STORE_LEASE_H_
#define DAMASKROUTE_STORE_LEASE_H_

#include <chrono>
#include <cstdint>

namespace damaskroute {

/// A lease as the store grants it. Keys written under it go when it ends.
struct Lease {
  std::uint64_t id = 0;
  std::chrono::milliseconds life{};  ///< Without renewal.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_H_
