#ifndef DAMASKROUTE_FORWARD_ISOLATION_H_
#define DAMASKROUTE_FORWARD_ISOLATION_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Detects that the node is isolated by a network partition: it reaches neither enough shards to
/// answer any query nor the store. It can then only refuse requests that other nodes may serve, so
/// callers should use those. A node that still reaches the store stays in service, because then the
/// servers have failed, for all nodes alike. The store's own calls may take seconds to detect a
/// partition that drops packets silently, so the store is probed as soon as the shards become
/// unreachable.
class Isolation {
 public:
  /// Updates whether enough shards are reachable. Returns true if the store should be probed now;
  /// `OnStoreProbed` must follow.
  bool OnShardsReachable(bool reachable, TimePoint now);

  /// Records the result of a probe of the store.
  void OnStoreProbed(bool reachable);

  /// Records that the store's own calls lost or regained the store.
  void OnStoreReachable(bool reachable) { store_reachable_ = reachable; }

  bool is_isolated() const { return !shards_reachable_ && !store_reachable_; }

 private:
  bool shards_reachable_ = true;
  bool store_reachable_ = true;
  bool probing_ = false;
  TimePoint next_probe_at_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ISOLATION_H_
