#ifndef STANDINS_FAULT_H_
#define STANDINS_FAULT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "damaskroute/core/random.h"

namespace damaskroute::standins {

/// Fault that a backend server injects into a call. Control messages name it like the enumerator,
/// in snake case without the prefix.
enum class Fault : std::uint8_t {
  kShed,              ///< Responds 503 although a slot is free.
  kResetBeforeRun,    ///< Resets the connection after reading the request, without running it.
  kResetAfterRun,     ///< Runs the call and resets the connection instead of responding.
  kNoAnswer,          ///< Runs the call and never responds.
  kLateAnswer,        ///< Runs the call and responds after the additional time `late_delay`.
  kDuplicateHeaders,  ///< Sends Damask-Request-Id and Damask-Attempt twice, with different values.
  kWrongRequestId,    ///< Sends another Damask-Request-Id.
  kWrongAttempt,      ///< Sends another Damask-Attempt.
  kWrongVersion,      ///< Sends another Damask-Index-Version.
  kWrongRange,        ///< Sends a Damask-Range that exceeds the requested one.
  kCrossedRefusal,    ///< Runs the call and responds with the 503 of another request.
  kMalformedJson,     ///< Truncates the JSON text of the body.
};

inline constexpr std::array<std::string_view, 12> kFaultNames = {
    "shed",          "reset_before_run",  "reset_after_run",  "no_answer",
    "late_answer",   "duplicate_headers", "wrong_request_id", "wrong_attempt",
    "wrong_version", "wrong_range",       "crossed_refusal",  "malformed_json"};

/// Fault with this name, nullopt if there is none.
std::optional<Fault> ParseFault(std::string_view name);

/// Selects the calls into which a fault is injected.
struct FaultRule {
  double probability = 0;  ///< Per call, from 0 to 1.
  std::uint64_t next = 0;  ///< Number of subsequent calls that are always affected.
};

/// The injection rules of all faults.
class FaultRules {
 public:
  /// Replaces the rule of `fault`.
  void Set(Fault fault, const FaultRule& rule);

  /// Whether to inject `fault` into the current call. Decrements `next` of its rule.
  bool ShouldInject(Fault fault, Random& random);

 private:
  std::array<FaultRule, kFaultNames.size()> rules_{};
  bool any_active_ = false;  ///< Whether any rule can apply.
};

}  // namespace damaskroute::standins

#endif  // STANDINS_FAULT_H_
