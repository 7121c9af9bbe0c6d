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

/// A backend server, or one holder of it, that must not be chosen.
struct Exclusion {
  const BackendName* backend = nullptr;  ///< nullptr for all backend servers.
  const NodeName* holder = nullptr;      ///< nullptr for all holders.
};

/// A chosen replica and the holder to send the call to. Points into the view.
struct ReplicaChoice {
  const Replica* replica = nullptr;
  const HolderShare* holder = nullptr;
};

/// Chooses replicas by fewest outstanding calls per slot of two random candidates. Safe for use by
/// several threads; the counters are in the view. Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001.
class ReplicaSelector {
 public:
  /// `own_zone` is preferred between equally loaded candidates.
  explicit ReplicaSelector(ZoneName own_zone) : own_zone_(std::move(own_zone)) {}

  /// A replica of `segment` and a holder of it, or nullopt if all are excluded. Replicas with
  /// recent failures are chosen only if there is no other.
  std::optional<ReplicaChoice> Choose(const ServiceView& view, const Segment& segment,
                                      std::span<const Exclusion> excluded, TimePoint now,
                                      Random& random) const;

  /// Counts a call that was sent.
  static void OnSent(const ReplicaChoice& choice);

  /// Counts a call that ended without an outcome that tells about the replica, for example because
  /// it was cancelled.
  static void OnEnded(const ReplicaChoice& choice);

  /// Counts a call that ended because the connection to its holder broke.
  static void OnHolderLost(const ReplicaChoice& choice, TimePoint now);

  /// Counts a call that ended with `outcome`.
  static void OnOutcome(const ReplicaChoice& choice, ShardOutcome outcome, TimePoint now);

 private:
  ZoneName own_zone_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_REPLICA_SELECTOR_H_
