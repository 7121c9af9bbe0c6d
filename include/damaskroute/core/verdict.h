#ifndef DAMASKROUTE_CORE_VERDICT_H_
#define DAMASKROUTE_CORE_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskroute {

/// Whether a request may have run on a backend server. Every error path carries a verdict, which
/// alone decides whether a retry is allowed.
enum class Verdict : std::uint8_t {
  kNotRun,      ///< The request did not run and cannot run later.
  kMayHaveRun,  ///< The outcome is unknown; a retry could run it twice.
  kRan,         ///< The request ran and its outcome is known.
};

/// Name used on the wire and in logs: `not_run`, `may_have_run` or `ran`.
std::string_view VerdictName(Verdict verdict);

/// Reverse of `VerdictName`; nullopt for any other text.
std::optional<Verdict> ParseVerdict(std::string_view name);

/// Whether another attempt is allowed: for an idempotent request unless it already ran, for a
/// non-idempotent request only after `kNotRun`.
constexpr bool MayRetry(Verdict verdict, bool idempotent) {
  return verdict == Verdict::kNotRun || (idempotent && verdict == Verdict::kMayHaveRun);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_VERDICT_H_
