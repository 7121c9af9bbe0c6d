#ifndef DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_
#define DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskroute/core/verdict.h"
#include "damaskroute/forward/call_result.h"

namespace damaskroute {

/// Kind of the final response to a caller.
enum class AnswerKind : std::uint8_t {
  kPassedOn,  ///< The response of one backend server, unchanged.
  kMerged,    ///< Merged from the parts of several shards.
  kRefused,   ///< No backend server has run the request or will run it.
  kFailed,    ///< No result; the request may have run.
  kTimedOut,  ///< The deadline passed; the request may have run.
};

/// Final response to a caller.
struct ForwardAnswer {
  AnswerKind kind = AnswerKind::kRefused;
  std::vector<CallResult> parts;  ///< One for `kPassedOn`, all received parts for `kMerged`.
  std::size_t missing = 0;        ///< Shards without a part.
  std::chrono::milliseconds retry_after{0};  ///< With `kRefused`: when to retry.
  const char* reason = "";                   ///< For the log.

  Verdict verdict() const {
    if (kind == AnswerKind::kRefused) return Verdict::kNotRun;
    return kind == AnswerKind::kPassedOn || kind == AnswerKind::kMerged ? Verdict::kRan
                                                                        : Verdict::kMayHaveRun;
  }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_ANSWER_H_
