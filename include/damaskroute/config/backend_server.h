#ifndef DAMASKROUTE_CONFIG_BACKEND_SERVER_H_
#define DAMASKROUTE_CONFIG_BACKEND_SERVER_H_

#include <cstdint>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Whether operators want a backend server to serve.
enum class BackendIntent : std::uint8_t {
  kServing,
  kLeaving,  ///< Gets no new work; calls that run may end.
};

/// A backend server as declared by operators.
struct BackendServer {
  BackendName name;
  ZoneName zone;
  Endpoint endpoint;
  int slots = 1;        ///< Calls it runs at the same time, over all nodes.
  int cold_slots = 1;   ///< The same while it is in cold start; 1 to `slots`.
  int connections = 1;  ///< Connections it accepts, over all nodes; at least `slots`.
  BackendIntent intent = BackendIntent::kServing;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_BACKEND_SERVER_H_
