#ifndef DAMASKROUTE_CONFIG_SERVICE_H_
#define DAMASKROUTE_CONFIG_SERVICE_H_

#include <chrono>
#include <string>

#include "damaskroute/config/backend_server.h"
#include "damaskroute/core/cow_vector.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// A set of backend servers that together hold one index of one customer.
struct Service {
  ServiceName name;
  std::string customer;
  std::chrono::milliseconds warm_up{2000};  ///< Minimum duration of a cold start after a boot.
  /// Copy-on-write, shared between revisions that do not change it.
  CowVector<BackendServer> backends;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_SERVICE_H_
