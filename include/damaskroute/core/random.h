#ifndef DAMASKROUTE_CORE_RANDOM_H_
#define DAMASKROUTE_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace damaskroute {

/// Seeded source of random numbers. Equal seeds give equal sequences on all machines, as no
/// standard distribution is used. Not for secrets.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Number in [0, bound); 0 if bound is 0.
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

  /// Number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// All 64 bits.
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_RANDOM_H_
