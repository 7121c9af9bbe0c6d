#ifndef DAMASKROUTE_CONFIG_SERVICE_H_
#define DAMASKROUTE_CONFIG_SERVICE_H_

#include <chrono>
#include <string>
#include <vector>

#include "damaskroute/config/backend_server.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// A set of backend servers that together hold one index, of one customer.
struct Service {
  ServiceName name;
  std::string customer;
  std::chrono::milliseconds warm_up{2000};  ///< Shortest time in cold start after a boot.
  std::vector<BackendServer> backends;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_SERVICE_H_
