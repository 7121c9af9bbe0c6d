#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_EVIDENCE_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Counts of the responses of some backend servers.
struct EvidenceCell {
  /// Two latency buckets per octave from 0.5 ms to 23 s.
  static constexpr std::size_t kBuckets = 32;

  std::uint32_t responses = 0;  ///< Including failures.
  std::uint32_t failures = 0;
  std::array<std::uint32_t, kBuckets> latencies{};  ///< Of responses other than failures.

  static std::size_t BucketOf(Duration latency);

  void Add(bool failed, Duration latency);
  void Merge(const EvidenceCell& other);

  friend bool operator==(const EvidenceCell&, const EvidenceCell&) = default;
};

/// Counts of the target version and of the other versions over the same time.
struct EvidencePair {
  EvidenceCell target;
  EvidenceCell others;

  friend bool operator==(const EvidencePair&, const EvidencePair&) = default;
};

/// Counts of responses, failures and latencies during a rollout, by version, route and time slot. A
/// comparison within a slot is fair although servers may be slower at some times than at others.
class RolloutEvidence {
 public:
  /// Equal parts of the time from the order to its deadline, and one for calls after a promotion.
  static constexpr int kSlots = 7;
  static constexpr int kPromotedSlot = kSlots - 1;
  /// Further routes are counted together under an empty name, which bounds the size of a report.
  static constexpr std::size_t kMaxRoutes = 8;

  using Slots = std::array<EvidencePair, kSlots>;

  /// Slot at `age` of an order with this duration, before a promotion.
  static int SlotAt(Duration age, Duration duration);

  void Add(const std::string& route, int slot, bool target, bool failed, Duration latency);
  void Merge(const RolloutEvidence& other);

  /// The counts of a route. `slot` is limited to the valid range.
  EvidencePair& At(const std::string& route, int slot);

  const std::map<std::string, Slots>& routes() const { return routes_; }

  /// All counts of the target version, or of the others.
  EvidenceCell Total(bool target) const;

  friend bool operator==(const RolloutEvidence&, const RolloutEvidence&) = default;

 private:
  std::map<std::string, Slots> routes_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_EVIDENCE_H_
