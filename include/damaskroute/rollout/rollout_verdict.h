#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_VERDICT_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_VERDICT_H_

#include <cstdint>

#include "damaskroute/rollout/rollout_evidence.h"

namespace damaskroute {

/// What the evidence of a rollout says.
enum class Judgement : std::uint8_t { kWait, kPromote, kRollBack };

/// A judgement with the numbers behind it.
struct VerdictResult {
  Judgement judgement = Judgement::kWait;
  const char* reason = "";
  bool too_little = false;  ///< Rolled back only because there are too few responses.
  EvidenceCell target;
  EvidenceCell others;
  double failure_score = 0;  ///< Log likelihood ratio of "fails more often" to "as the others".
  double slow_score = 0;     ///< The same for "slow more often".
};

/// Compares the target version with the others by sequential probability ratio tests (Wald, 1945):
/// the hypothesis that a further 15 (failures) or 20 (slow responses) in 100 responses are bad,
/// against the rate of the other versions in the same slot on the same route. A response is slow if
/// it takes about three times the median of the other versions. The score is the maximum over all
/// routes together and each route, and over the time since the order and since each slot, as a
/// version may turn bad late or on one route only. Each alternative adds a penalty, as the best of
/// several comparisons is high by chance.
class RolloutVerdict {
 public:
  /// Fewer responses of the target version do not suffice for promotion.
  static constexpr std::uint32_t kMinResponses = 10;

  /// Scores from which the version is rolled back: at any time, before the old servers are
  /// released, and before all calls go to the version. See docs/design/rollouts.md for the measured
  /// rates of wrong verdicts.
  static constexpr double kEarlyScore = 6;
  static constexpr double kConfirmScore = 1.5;
  static constexpr double kLastScore = 1.2;

  /// Rolls back if a score reaches `limit`. With `kLastScore` no further evidence can be awaited,
  /// so that the judgement is not `kWait`.
  static VerdictResult Judge(const RolloutEvidence& evidence, double limit);
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_VERDICT_H_
