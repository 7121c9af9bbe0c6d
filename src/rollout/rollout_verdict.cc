#include "damaskroute/rollout/rollout_verdict.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace damaskroute {
namespace {

// Additional rate of bad responses of a bad version that the tests look for.
constexpr double kFailureDifference = 0.15;
constexpr double kSlowDifference = 0.2;

// The rate of the other versions is estimated with this prior rate, and is at least the minimum, as
// few responses say little. The median that makes a response slow is uncertain as well.
constexpr double kPriorFailureRate = 0.02;
constexpr double kPriorSlowRate = 0.2;
constexpr double kMinFailureRate = 0.01;
constexpr double kMinSlowRate = 0.03;
constexpr double kMaxRate = 0.95;

// Weight, in responses, of the prior rate, and of the rate over the whole time in that of a slot.
constexpr double kPriorWeight = 10;

// Buckets from the median of the other versions to a slow response: a factor of 2.4 to 3.4.
constexpr std::size_t kSlowBuckets = 3;

// A route or slot with fewer responses of the other versions has no median of its own.
constexpr std::uint32_t kMinMedianResponses = 5;
constexpr std::uint32_t kMinPromotedMedian = 15;

// With fewer responses of all versions, the scores of bad versions are low as well, so that lower
// limits balance the errors.
constexpr std::uint32_t kFewResponses = 100;
constexpr double kFewResponsesFactor = 0.3;

// Penalties for the choice among routes and among starts.
constexpr double kRoutePenalty = 1.5;
constexpr double kStartPenalty = 2.5;

using SlotScores = std::array<double, RolloutEvidence::kSlots>;

std::uint32_t Successes(const EvidenceCell& cell) { return cell.responses - cell.failures; }

std::size_t MedianBucket(const EvidenceCell& cell) {
  std::uint32_t half = Successes(cell) / 2;
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < EvidenceCell::kBuckets; ++i) {
    seen += cell.latencies[i];
    if (seen > half) return i;
  }
  return EvidenceCell::kBuckets;
}

std::uint32_t CountSlow(const EvidenceCell& cell, std::size_t median) {
  std::uint32_t slow = 0;
  for (std::size_t i = median + kSlowBuckets; i < EvidenceCell::kBuckets; ++i) {
    slow += cell.latencies[i];
  }
  return slow;
}

// Log likelihood ratio of `bad` in `count` at a rate of `rate + difference` to `rate`.
double Score(std::uint32_t bad, std::uint32_t count, double rate, double difference) {
  double high = std::min(rate + difference, kMaxRate);
  rate = std::min(rate, kMaxRate - difference);
  return bad * std::log(high / rate) + (count - bad) * std::log((1 - high) / (1 - rate));
}

double Rate(std::uint32_t bad, std::uint32_t count, double prior, double minimum) {
  return std::max(minimum, (bad + kPriorWeight * prior) / (count + kPriorWeight));
}

EvidenceCell SumOthers(const RolloutEvidence::Slots& slots) {
  EvidenceCell sum;
  for (const EvidencePair& pair : slots) sum.Merge(pair.others);
  return sum;
}

SlotScores FailureScores(const RolloutEvidence::Slots& slots, double all_rate) {
  EvidenceCell others = SumOthers(slots);
  double route_rate = Rate(others.failures, others.responses, all_rate, kMinFailureRate);
  SlotScores scores{};
  for (std::size_t i = 0; i < scores.size(); ++i) {
    const auto& [target, other] = slots[i];
    double rate = Rate(other.failures, other.responses, route_rate, kMinFailureRate);
    scores[i] = Score(target.failures, target.responses, rate, kFailureDifference);
  }
  return scores;
}

// Without a median to compare with, nothing is slow: routes differ too much for a common one.
SlotScores SlowScores(const RolloutEvidence::Slots& slots) {
  EvidenceCell route = SumOthers(slots);
  SlotScores scores{};
  if (Successes(route) < kMinMedianResponses) return scores;
  for (std::size_t i = 0; i < scores.size(); ++i) {
    const auto& [target, other] = slots[i];
    bool has_median = Successes(other) >= kMinMedianResponses;
    // After a promotion there are few responses to compare with, and the servers may all have
    // become slower since.
    if (i == RolloutEvidence::kPromotedSlot && Successes(other) < kMinPromotedMedian) continue;
    std::size_t median = MedianBucket(has_median ? other : route);
    double route_rate =
        Rate(CountSlow(route, median), Successes(route), kPriorSlowRate, kMinSlowRate);
    double rate = Rate(CountSlow(other, median), Successes(other), route_rate, kMinSlowRate);
    scores[i] = Score(CountSlow(target, median), Successes(target), rate, kSlowDifference);
  }
  return scores;
}

// The highest score from some slot on, less the penalty unless that is the first.
double BestStart(const SlotScores& scores) {
  double best = 0;
  double sum = 0;
  for (std::size_t i = scores.size(); i-- > 0;) {
    sum += scores[i];
    double value = i == 0 ? sum : sum - kStartPenalty;
    best = i + 1 == scores.size() ? value : std::max(best, value);
  }
  return best;
}

double BestOf(const std::vector<SlotScores>& routes) {
  SlotScores all{};
  for (const SlotScores& scores : routes) {
    for (std::size_t i = 0; i < all.size(); ++i) all[i] += scores[i];
  }
  double best = BestStart(all);
  if (routes.size() < 2) return best;
  for (const SlotScores& scores : routes) best = std::max(best, BestStart(scores) - kRoutePenalty);
  return best;
}

}  // namespace

VerdictResult RolloutVerdict::Judge(const RolloutEvidence& evidence, double limit) {
  VerdictResult result;
  result.target = evidence.Total(true);
  result.others = evidence.Total(false);
  double all_rate =
      Rate(result.others.failures, result.others.responses, kPriorFailureRate, kMinFailureRate);
  std::vector<SlotScores> failures;
  std::vector<SlotScores> slow;
  for (const auto& [route, slots] : evidence.routes()) {
    failures.push_back(FailureScores(slots, all_rate));
    slow.push_back(SlowScores(slots));
  }
  result.failure_score = BestOf(failures);
  result.slow_score = BestOf(slow);
  bool last = limit <= kLastScore;
  bool few = result.target.responses + result.others.responses < kFewResponses;
  if (few && limit < kEarlyScore) limit *= kFewResponsesFactor;
  if (result.failure_score >= limit || result.slow_score >= limit) {
    result.judgement = Judgement::kRollBack;
    result.reason = result.failure_score >= limit ? "it fails more often than the other versions"
                                                  : "it is slower than the other versions";
  } else if (last && result.target.responses < kMinResponses) {
    result.judgement = Judgement::kRollBack;
    result.too_little = true;
    result.reason = "too little evidence";
  } else if (last) {
    result.judgement = Judgement::kPromote;
    result.reason = "no worse than the other versions";
  }
  return result;
}

}  // namespace damaskroute
