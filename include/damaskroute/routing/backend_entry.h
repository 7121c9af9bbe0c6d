#ifndef DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_
#define DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// What a backend server says of itself in the store.
struct BackendEntry {
  BackendName id;
  ServiceName service;
  Endpoint endpoint;
  ZoneName zone;
  int slots = 1;                            ///< Requests that it processes at a time.
  bool draining = false;                    ///< It leaves and must get no new work.
  std::chrono::milliseconds warmup_left{};  ///< Rest of its cold start when it wrote the entry.
  std::int64_t sequence = 0;                ///< Rises with each entry of one incarnation.
  std::int64_t incarnation = 0;  ///< Start time of its process in Unix milliseconds; 0 if unknown.

  friend bool operator==(const BackendEntry&, const BackendEntry&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_
