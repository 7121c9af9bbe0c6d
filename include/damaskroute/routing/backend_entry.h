#ifndef DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_
#define DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// What a backend server publishes about itself in the store.
struct BackendEntry {
  BackendName id;
  ServiceName service;
  Endpoint endpoint;
  ZoneName zone;
  std::string version;                      ///< Version of its software.
  int slots = 1;                            ///< Requests that it processes concurrently.
  bool draining = false;                    ///< It is leaving and must get no new requests.
  std::chrono::milliseconds warmup_left{};  ///< Remaining cold start when the entry was written.
  std::int64_t sequence = 0;                ///< Increases with each entry of one incarnation.
  std::int64_t incarnation = 0;  ///< Start time of its process in Unix milliseconds; 0 if unknown.

  friend bool operator==(const BackendEntry&, const BackendEntry&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_BACKEND_ENTRY_H_
