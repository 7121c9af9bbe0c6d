#include "damaskroute/scatter/replica_selector.h"

#include <algorithm>
#include <chrono>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// How long a target is avoided after one failure. After a lost connection the backend server or its
// VM is probably gone; overload ends as soon as a few calls have ended.
constexpr Duration kAvoidAfterError = milliseconds(250);
constexpr Duration kAvoidAfterTimeout = milliseconds(100);
constexpr Duration kAvoidAfterNoShare = milliseconds(100);
constexpr Duration kAvoidAfterShed = milliseconds(10);

bool IsExcluded(const BackendName& backend, const NodeName* holder,
                std::span<const Exclusion> excluded) {
  return std::any_of(excluded.begin(), excluded.end(), [&](const Exclusion& exclusion) {
    bool backend_matches = exclusion.backend == nullptr || *exclusion.backend == backend;
    bool holder_matches =
        exclusion.holder == nullptr || (holder != nullptr && *exclusion.holder == *holder);
    return backend_matches && holder_matches;
  });
}

// Compares (a + 1) / a_slots with (b + 1) / b_slots without division.
bool IsLessLoaded(std::int64_t a, std::uint32_t a_slots, std::int64_t b, std::uint32_t b_slots) {
  return (a + 1) * b_slots < (b + 1) * a_slots;
}

// Returns the holder with the fewest outstanding calls relative to its share. Starts at a random
// one to break ties.
const HolderShare* ChooseHolder(const Replica& replica, std::span<const Exclusion> excluded,
                                TimePoint now, Random& random) {
  const HolderShare* best = nullptr;
  bool best_avoided = false;
  std::size_t start = replica.holders.size() > 1 ? random.Below(replica.holders.size()) : 0;
  for (std::size_t i = 0; i < replica.holders.size(); ++i) {
    const HolderShare& holder = replica.holders[(start + i) % replica.holders.size()];
    if (IsExcluded(replica.backend, &holder.node, excluded)) continue;
    bool avoided = holder.load->IsAvoided(now);
    bool better = best == nullptr || (best_avoided && !avoided) ||
                  (best_avoided == avoided && IsLessLoaded(holder.load->outstanding(), holder.share,
                                                           best->load->outstanding(), best->share));
    if (!better) continue;
    best = &holder;
    best_avoided = avoided;
  }
  return best;
}

bool HasHolder(const Replica& replica, std::span<const Exclusion> excluded) {
  return std::any_of(replica.holders.begin(), replica.holders.end(),
                     [&](const HolderShare& holder) {
                       return !IsExcluded(replica.backend, &holder.node, excluded);
                     });
}

// Samples two random candidates from the replicas that are not excluded, preferring those without
// recent failures. Reservoir sampling avoids allocation.
class TwoCandidates {
 public:
  void Offer(const Replica& replica, bool avoided, Random& random) {
    if (avoided && !avoided_) return;
    if (avoided_ && !avoided) {
      avoided_ = false;
      seen_ = 0;
    }
    ++seen_;
    if (seen_ <= 2) {
      picked_[seen_ - 1] = &replica;
    } else if (std::uint64_t position = random.Below(seen_); position < 2) {
      picked_[position] = &replica;
    }
  }

  const Replica* Best(const ZoneName& local_zone, Random& random) const {
    if (seen_ == 0) return nullptr;
    if (seen_ == 1) return picked_[0];
    const Replica& a = *picked_[0];
    const Replica& b = *picked_[1];
    std::int64_t a_load = a.load->outstanding();
    std::int64_t b_load = b.load->outstanding();
    if (IsLessLoaded(a_load, a.slots, b_load, b.slots)) return &a;
    if (IsLessLoaded(b_load, b.slots, a_load, a.slots)) return &b;
    bool a_local = a.zone == local_zone;
    bool b_local = b.zone == local_zone;
    if (a_local != b_local) return a_local ? &a : &b;
    return picked_[random.Below(2)];
  }

 private:
  const Replica* picked_[2] = {nullptr, nullptr};
  std::uint64_t seen_ = 0;
  bool avoided_ = true;
};

}  // namespace

std::optional<ReplicaChoice> ReplicaSelector::Choose(const ServiceView& view,
                                                     const Segment& segment,
                                                     std::span<const Exclusion> excluded,
                                                     TimePoint now, Random& random) const {
  TwoCandidates candidates;
  for (std::uint32_t index : segment.replicas) {
    const Replica& replica = view.replicas[index];
    if (!excluded.empty() && !HasHolder(replica, excluded)) continue;
    candidates.Offer(replica, replica.load->IsAvoided(now), random);
  }
  const Replica* replica = candidates.Best(local_zone_, random);
  if (replica == nullptr) return std::nullopt;
  return ReplicaChoice{replica, ChooseHolder(*replica, excluded, now, random)};
}

void ReplicaSelector::OnSent(const ReplicaChoice& choice) {
  choice.replica->load->OnSent();
  choice.holder->load->OnSent();
}

void ReplicaSelector::OnEnded(const ReplicaChoice& choice) {
  choice.replica->load->OnEnded();
  choice.holder->load->OnEnded();
}

void ReplicaSelector::OnHolderLost(const ReplicaChoice& choice, TimePoint now) {
  OnEnded(choice);
  choice.holder->load->OnFailure(now, kAvoidAfterError);
}

void ReplicaSelector::OnOutcome(const ReplicaChoice& choice, ShardOutcome outcome, TimePoint now) {
  OnEnded(choice);
  switch (outcome) {
    case ShardOutcome::kRows:
      choice.replica->load->OnSuccess();
      choice.holder->load->OnSuccess();
      break;
    case ShardOutcome::kShed:
      choice.replica->load->OnFailure(now, kAvoidAfterShed);
      break;
    case ShardOutcome::kNoShare:
      choice.holder->load->OnFailure(now, kAvoidAfterNoShare);
      break;
    case ShardOutcome::kConnectFailed:
    case ShardOutcome::kConnectionLost:
    case ShardOutcome::kBadAnswer:
      choice.replica->load->OnFailure(now, kAvoidAfterError);
      break;
    case ShardOutcome::kTimedOut:
      choice.replica->load->OnFailure(now, kAvoidAfterTimeout);
      break;
    case ShardOutcome::kVersionGone:
    case ShardOutcome::kCancelled:
      break;
  }
}

}  // namespace damaskroute
