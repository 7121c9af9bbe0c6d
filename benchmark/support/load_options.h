#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_OPTIONS_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/endpoint.h"

namespace damaskroute::bench {

/// Load that damaskbench generates.
struct LoadOptions {
  std::vector<Endpoint> targets;  ///< Callers' ports, used in turn.
  std::string front;
  std::string query = "{}";
  double rate = 100;                     ///< Queries per second, Poisson arrivals.
  std::chrono::milliseconds warm_up{0};  ///< Precedes `duration`; its queries are not counted.
  std::chrono::milliseconds duration{5000};
  std::chrono::milliseconds deadline{1000};
  double urgent_fraction = 0;
  std::uint64_t seed = 1;
  int loops = 2;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_OPTIONS_H_
