#ifndef DAMASKROUTE_STORE_LEASE_H_
#define DAMASKROUTE_STORE_LEASE_H_

#include <chrono>
#include <cstdint>

namespace damaskroute {

/// Lease granted by the store. Keys written under it are removed when it ends.
struct Lease {
  std::uint64_t id = 0;
  std::chrono::milliseconds ttl{};  ///< Time until it ends without renewal.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_H_
