#ifndef DAMASKROUTE_PEER_SHARD_OUTCOME_H_
#define DAMASKROUTE_PEER_SHARD_OUTCOME_H_

#include <cstdint>

#include "damaskroute/core/verdict.h"

namespace damaskroute {

/// Outcome of a shard call.
enum class ShardOutcome : std::uint8_t {
  kRows,            ///< Ran: rows, version and range are set.
  kVersionGone,     ///< Not run: the backend server does not hold the version.
  kShed,            ///< Not run: refused by the backend server or the holder under overload.
  kNoShare,         ///< Not run: the holder currently has no share of the backend server.
  kConnectFailed,   ///< Not run: no connection could be opened.
  kConnectionLost,  ///< May have run: the connection broke during the call.
  kTimedOut,        ///< May have run: no response before the deadline.
  kCancelled,       ///< May have run: cancelled by the coordinator.
  kBadAnswer,       ///< May have run: the response violates the protocol.
};

/// Whether the call ran, according to its outcome.
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
