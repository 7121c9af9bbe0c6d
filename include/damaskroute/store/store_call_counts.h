#ifndef DAMASKROUTE_STORE_STORE_CALL_COUNTS_H_
#define DAMASKROUTE_STORE_STORE_CALL_COUNTS_H_

#include <cstdint>

namespace damaskroute {

/// Number of calls that reached a store, including failed ones.
struct StoreCallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;

  friend bool operator==(const StoreCallCounts&, const StoreCallCounts&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_CALL_COUNTS_H_
