#ifndef DAMASKROUTE_CRASHGUARD_REQUEST_KEYS_H_
#define DAMASKROUTE_CRASHGUARD_REQUEST_KEYS_H_

#include <cstdint>

namespace damaskroute {

/// Hashes by which all nodes recognise the repeats of a request.
struct RequestKeys {
  std::uint64_t exact = 0;    ///< Of all that a backend server may tell callers apart by.
  std::uint64_t content = 0;  ///< Of method, host, target and body, whoever the caller is.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_REQUEST_KEYS_H_
