#ifndef DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_
#define DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskroute/core/verdict.h"
#include "damaskroute/forward/call_result.h"

namespace damaskroute {

/// Kind of final answer to a caller.
enum class AnswerKind : std::uint8_t {
  kPassedOn,  ///< The answer of one backend server, unchanged.
  kMerged,    ///< Merged from parts.
  kRefused,   ///< No backend server ran it and none will.
  kFailed,    ///< It may have run, and there is no answer.
  kTimedOut,  ///< The deadline passed; it may have run.
};

/// Final answer to a caller.
struct ForwardAnswer {
  AnswerKind kind = AnswerKind::kRefused;
  std::vector<CallResult> parts;  ///< One for `kPassedOn`, all that are in for `kMerged`.
  std::size_t missing = 0;        ///< Shards that are not in.
  std::chrono::milliseconds retry_after{0};  ///< With `kRefused`: when room is likely.
  const char* reason = "";                   ///< For the log.

  Verdict verdict() const {
    if (kind == AnswerKind::kRefused) return Verdict::kNotRun;
    return kind == AnswerKind::kPassedOn || kind == AnswerKind::kMerged ? Verdict::kRan
                                                                        : Verdict::kMayHaveRun;
  }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_
