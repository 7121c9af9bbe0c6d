#ifndef STANDINS_BACKEND_STATS_H_
#define STANDINS_BACKEND_STATS_H_

#include <cstdint>

namespace damaskroute::standins {

/// Counters of a backend server stand-in since its construction; a crash does not reset them.
struct BackendStats {
  std::uint64_t received = 0;           ///< Query and action requests received.
  std::uint64_t ran = 0;                ///< Calls that started to run.
  std::uint64_t answered = 0;           ///< Answers with status 200.
  std::uint64_t shed = 0;               ///< Responses with status 503.
  std::uint64_t version_gone = 0;       ///< Responses with status 409.
  std::uint64_t deadline_exceeded = 0;  ///< Responses with status 504.
  std::uint64_t cancelled = 0;          ///< Calls cancelled by DELETE.
  std::uint64_t disconnected = 0;       ///< Calls cancelled because the peer disconnected.
  std::uint64_t crashes = 0;
  std::uint64_t cold_overload = 0;        ///< Calls admitted above `cold_slots` while cold.
  std::uint64_t max_concurrent_cold = 0;  ///< Maximum of waiting and running calls while cold.
  std::uint64_t max_concurrent_warm = 0;  ///< Maximum of waiting and running calls while warm.
  std::uint64_t actions_repeated = 0;     ///< Runs of an action that had already run.
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_STATS_H_
