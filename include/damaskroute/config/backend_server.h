#ifndef DAMASKROUTE_CONFIG_BACKEND_SERVER_H_
#define DAMASKROUTE_CONFIG_BACKEND_SERVER_H_

#include <cstdint>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Whether operators want a backend server to serve.
enum class BackendIntent : std::uint8_t {
  kServing,
  kLeaving,  ///< Receives no new calls; running calls may finish.
};

/// A backend server as declared by operators. Each limit applies to all nodes together.
struct BackendServer {
  BackendName name;
  ZoneName zone;
  Endpoint endpoint;
  int slots = 1;        ///< Maximum number of concurrent calls.
  int cold_slots = 1;   ///< Maximum during cold start; 1 to `slots`.
  int connections = 1;  ///< Maximum number of connections; at least `slots`.
  BackendIntent intent = BackendIntent::kServing;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_BACKEND_SERVER_H_
