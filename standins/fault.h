#ifndef STANDINS_FAULT_H_
#define STANDINS_FAULT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "damaskroute/core/random.h"

namespace damaskroute::standins {

/// Misbehaviour of a backend server towards one call. The name in control messages is the
/// enumerator in lower case with underscores.
enum class Fault : std::uint8_t {
  kShed,              ///< 503 although a slot is free.
  kResetBeforeRun,    ///< Connection reset after the request was read; it does not run.
  kResetAfterRun,     ///< Connection reset in place of the answer; it ran.
  kNoAnswer,          ///< Runs and never answers.
  kLateAnswer,        ///< Runs and answers after the further time `late_delay`.
  kDuplicateHeaders,  ///< Damask-Request-Id and Damask-Attempt twice with different values.
  kWrongRequestId,    ///< Another Damask-Request-Id.
  kWrongAttempt,      ///< Another Damask-Attempt.
  kWrongVersion,      ///< Another Damask-Index-Version.
  kWrongRange,        ///< A Damask-Range beyond the asked one.
  kCrossedRefusal,    ///< Runs, and answers with the 503 of another request.
  kMalformedJson,     ///< The body is cut off within the JSON text.
};

inline constexpr std::array<std::string_view, 12> kFaultNames = {
    "shed",          "reset_before_run",  "reset_after_run",  "no_answer",
    "late_answer",   "duplicate_headers", "wrong_request_id", "wrong_attempt",
    "wrong_version", "wrong_range",       "crossed_refusal",  "malformed_json"};

/// Fault with that name, nullopt if there is none.
std::optional<Fault> ParseFault(std::string_view name);

/// Decides which calls a fault hits.
struct FaultRule {
  double probability = 0;  ///< 0 to 1.
  std::uint64_t next = 0;  ///< So many next calls are hit in any case.
};

/// Rules of all faults.
class FaultRules {
 public:
  /// Replaces the rule of `fault`.
  void Set(Fault fault, const FaultRule& rule);

  /// Whether `fault` hits the call in question; counts down `next`.
  bool Hits(Fault fault, Random& random);

 private:
  std::array<FaultRule, kFaultNames.size()> rules_{};
  bool any_ = false;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_FAULT_H_
