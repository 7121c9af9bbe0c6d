#include "standins/service_time.h"

#include <algorithm>
#include <cmath>

namespace damaskroute::standins {

Duration DrawServiceTime(const BackendOptions& options, bool cold, std::size_t concurrent,
                         Random& random) {
  using Micros = std::chrono::duration<double, std::micro>;
  Micros time(options.service_time);
  if (options.service_jitter.count() > 0) time += options.service_jitter * random.NextDouble();
  if (options.straggler_probability > 0 && random.NextDouble() < options.straggler_probability) {
    time *= options.straggler_factor;
  }
  if (cold) {
    double excess = static_cast<double>(concurrent) - options.cold_slots;
    time *= options.cold_factor * std::pow(options.cold_collapse, std::max(0.0, excess));
  }
  return std::chrono::duration_cast<Duration>(std::min(time, Micros(std::chrono::hours(1))));
}

}  // namespace damaskroute::standins
