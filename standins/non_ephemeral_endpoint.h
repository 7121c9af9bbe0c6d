#ifndef STANDINS_NON_EPHEMERAL_ENDPOINT_H_
#define STANDINS_NON_EPHEMERAL_ENDPOINT_H_

#include "damaskroute/core/endpoint.h"

namespace damaskroute::standins {

/// Returns a loopback endpoint whose port is unused for TCP and UDP and below the ephemeral port
/// range, so that no outgoing connection can take the port while a node restarts. No other process
/// that calls this function gets the port as long as this process runs. Thread-safe.
Endpoint NonEphemeralEndpoint();

}  // namespace damaskroute::standins

#endif  // STANDINS_NON_EPHEMERAL_ENDPOINT_H_
