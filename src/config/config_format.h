#ifndef DAMASKROUTE_SRC_CONFIG_CONFIG_FORMAT_H_
#define DAMASKROUTE_SRC_CONFIG_CONFIG_FORMAT_H_

#include <cstddef>
#include <cstdint>

#include "cereal/cereal.hpp"
#include "damaskroute/config/backend_server.h"
#include "damaskroute/config/search_front.h"

namespace damaskroute::internal {

// Limits and checks of the encoded configuration that the writer and the reader share.
inline constexpr std::uint8_t kConfigFormat = 1;
inline constexpr std::size_t kMaxConfigTextBytes = 1024;
inline constexpr std::uint32_t kMaxConfigEntries = 1'000'000;

// Throws cereal::Exception unless `condition` holds.
inline void Require(bool condition, const char* error) {
  if (!condition) throw cereal::Exception(error);
}

inline void CheckBackend(const BackendServer& backend) {
  Require(backend.cold_slots >= 1 && backend.cold_slots <= backend.slots &&
              backend.slots <= backend.connections,
          "limits of a backend server out of range");
  Require(backend.intent <= BackendIntent::kLeaving, "unknown backend intent");
}

inline void CheckFront(const SearchFront& front) {
  const Objective& objective = front.objective;
  Require(front.default_deadline.count() >= 0 && objective.latency.count() >= 0,
          "negative time span");
  Require(objective.latency_ratio >= 0 && objective.latency_ratio <= 1 &&
              objective.coverage_ratio >= 0 && objective.coverage_ratio <= 1,
          "ratio out of range");
}

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_CONFIG_CONFIG_FORMAT_H_
