#ifndef STANDINS_BACKEND_STATS_H_
#define STANDINS_BACKEND_STATS_H_

#include <cstdint>

namespace damaskroute::standins {

/// Counters of a backend server stand-in since its construction; a crash does not clear them.
struct BackendStats {
  std::uint64_t received = 0;           ///< Query and action requests read.
  std::uint64_t ran = 0;                ///< Calls that started to run.
  std::uint64_t answered = 0;           ///< Answers with status 200.
  std::uint64_t shed = 0;               ///< 503.
  std::uint64_t version_gone = 0;       ///< 409.
  std::uint64_t deadline_exceeded = 0;  ///< 504.
  std::uint64_t cancelled = 0;          ///< Ended by DELETE.
  std::uint64_t disconnected = 0;       ///< Ended because the peer closed the connection.
  std::uint64_t crashes = 0;
  std::uint64_t cold_overload = 0;        ///< Calls admitted above `cold_slots` while cold.
  std::uint64_t max_concurrent_cold = 0;  ///< Most calls at once while cold, queue included.
  std::uint64_t max_concurrent_warm = 0;  ///< The same while warm.
  std::uint64_t actions_repeated = 0;     ///< Runs of an action id that had run before.
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_STATS_H_
