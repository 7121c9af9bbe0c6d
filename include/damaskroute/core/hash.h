#ifndef DAMASKROUTE_CORE_HASH_H_
#define DAMASKROUTE_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace damaskroute {

/// 64-bit hash of `data` (XXH3), the same on all nodes. Not resistant to deliberate collisions.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// Rendezvous weight of `candidate` for `key`; the candidate with the greatest weight is chosen.
/// Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view candidate);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_HASH_H_
