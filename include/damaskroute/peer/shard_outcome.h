#ifndef DAMASKROUTE_PEER_SHARD_OUTCOME_H_
#define DAMASKROUTE_PEER_SHARD_OUTCOME_H_

#include <cstdint>

#include "damaskroute/core/verdict.h"

namespace damaskroute {

/// How a shard call ended.
enum class ShardOutcome : std::uint8_t {
  kRows,            ///< Ran; rows, version and range are set.
  kVersionGone,     ///< Not run: the backend server does not hold the version.
  kShed,            ///< Not run: the backend server or the holder refused for load.
  kNoShare,         ///< Not run: the holder has no share of the backend server now.
  kConnectFailed,   ///< Not run: no connection could be opened.
  kConnectionLost,  ///< May have run: the connection broke during the call.
  kTimedOut,        ///< May have run: no answer before the deadline.
  kCancelled,       ///< May have run: cancelled by the coordinator.
  kBadAnswer,       ///< May have run: the answer breaks the protocol.
};

/// Verdict that belongs to the outcome.
constexpr Verdict VerdictOf(ShardOutcome outcome) {
  switch (outcome) {
    case ShardOutcome::kRows:
      return Verdict::kRan;
    case ShardOutcome::kVersionGone:
    case ShardOutcome::kShed:
    case ShardOutcome::kNoShare:
    case ShardOutcome::kConnectFailed:
      return Verdict::kNotRun;
    case ShardOutcome::kConnectionLost:
    case ShardOutcome::kTimedOut:
    case ShardOutcome::kCancelled:
    case ShardOutcome::kBadAnswer:
      return Verdict::kMayHaveRun;
  }
  return Verdict::kMayHaveRun;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_SHARD_OUTCOME_H_
