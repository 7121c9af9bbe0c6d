#ifndef DAMASKROUTE_FORWARD_CALLER_NETWORK_DELAY_H_
#define DAMASKROUTE_FORWARD_CALLER_NETWORK_DELAY_H_

#include <chrono>

#include "damaskroute/core/time.h"
#include "damaskroute/http/caller_connection.h"

namespace damaskroute {

/// The part of a caller's waiting time that this node does not observe: opening the connection, and
/// the transfer of the request and of the answer. Capped at half of `objective`, as a lost packet
/// inflates the measured round-trip time.
Duration CallerNetworkDelay(const CallerConnection& connection,
                            std::chrono::milliseconds objective);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_CALLER_NETWORK_DELAY_H_
