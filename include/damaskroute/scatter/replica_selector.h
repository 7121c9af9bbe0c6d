#ifndef DAMASKROUTE_SCATTER_REPLICA_SELECTOR_H_
#define DAMASKROUTE_SCATTER_REPLICA_SELECTOR_H_

#include <optional>
#include <span>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/peer/shard_outcome.h"
#include "damaskroute/scatter/service_view.h"

namespace damaskroute {

/// A backend server or one of its holders that must not be chosen.
struct Exclusion {
  const BackendName* backend = nullptr;  ///< nullptr matches all backend servers.
  const NodeName* holder = nullptr;      ///< nullptr matches all holders.
};

/// A chosen replica and the holder that receives the call. Points into the view.
struct ReplicaChoice {
  const Replica* replica = nullptr;
  const HolderShare* holder = nullptr;
};

/// Chooses the replica with fewer outstanding calls per slot out of two random candidates.
/// Thread-safe; the counters are in the view. See Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001.
class ReplicaSelector {
 public:
  /// `local_zone` is preferred between equally loaded candidates.
  explicit ReplicaSelector(ZoneName local_zone) : local_zone_(std::move(local_zone)) {}

  /// Returns a replica of `segment` and one of its holders, or nullopt if all are excluded.
  /// Replicas with recent failures are chosen only if there is no other.
  std::optional<ReplicaChoice> Choose(const ServiceView& view, const Segment& segment,
                                      std::span<const Exclusion> excluded, TimePoint now,
                                      Random& random) const;

  /// Records that a call was sent.
  static void OnSent(const ReplicaChoice& choice);

  /// Records that a call ended with no information about the replica, for example because it was
  /// cancelled.
  static void OnEnded(const ReplicaChoice& choice);

  /// Records that a call ended because the connection to its holder broke.
  static void OnHolderLost(const ReplicaChoice& choice, TimePoint now);

  /// Records that a call ended with `outcome`.
  static void OnOutcome(const ReplicaChoice& choice, ShardOutcome outcome, TimePoint now);

 private:
  ZoneName local_zone_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_REPLICA_SELECTOR_H_
