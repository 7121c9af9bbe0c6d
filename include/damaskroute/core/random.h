#ifndef DAMASKROUTE_CORE_RANDOM_H_
#define DAMASKROUTE_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace damaskroute {

/// Seeded pseudo-random number generator. Equal seeds give equal sequences on all platforms,
/// because it does not use the standard distributions, whose output is implementation-defined. Not
/// suitable for secrets.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Random number in [0, bound); 0 if bound is 0.
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

  /// Random number in [0, 1).
  double NextDouble() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// Random 64-bit number.
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_RANDOM_H_
