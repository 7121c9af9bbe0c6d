#ifndef DAMASKROUTE_NODE_REQUEST_KEYS_OF_H_
#define DAMASKROUTE_NODE_REQUEST_KEYS_OF_H_

#include "damaskroute/crashguard/request_keys.h"
#include "damaskroute/node/caller_request.h"

namespace damaskroute {

/// Keys of a request. The forwarded headers tell callers apart, other than those that are known to
/// differ between attempts; the address of the caller does not count, since backend servers do not
/// see it.
RequestKeys KeysOf(const CallerRequest& request);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REQUEST_KEYS_OF_H_
