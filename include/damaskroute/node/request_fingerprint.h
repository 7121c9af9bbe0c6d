#ifndef DAMASKROUTE_NODE_REQUEST_FINGERPRINT_H_
#define DAMASKROUTE_NODE_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "damaskroute/node/caller_request.h"

namespace damaskroute {

/// Hash by which all nodes recognise the repeats of a request: of the method, host, target, body,
/// and the forwarded headers other than those that may differ between attempts. The headers tell
/// callers apart; their address does not count, since backend servers do not see it.
std::uint64_t RequestFingerprint(const CallerRequest& request);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REQUEST_FINGERPRINT_H_
