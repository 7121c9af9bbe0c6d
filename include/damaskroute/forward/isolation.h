#ifndef DAMASKROUTE_FORWARD_ISOLATION_H_
#define DAMASKROUTE_FORWARD_ISOLATION_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Finds out whether the node is cut off: it reaches neither enough shards to answer any query nor
/// the store. It can then only refuse what other nodes may serve, so callers should go to those. A
/// node that still reaches the store stays in service, as it is the servers that are gone, for all
/// nodes alike. The store's own calls may take seconds to find a silent cut, so the store is probed
/// as soon as the shards are lost.
class Isolation {
 public:
  /// Takes in whether enough shards are reached. Returns true if the store should be probed now;
  /// `OnProbe` must follow.
  bool OnShards(bool reached, TimePoint now);

  /// A probe of the store ended.
  void OnProbe(bool reached);

  /// The store's own calls found that it is lost, or reached again.
  void OnStore(bool reached) { store_reached_ = reached; }

  bool is_cut_off() const { return !shards_reached_ && !store_reached_; }

 private:
  bool shards_reached_ = true;
  bool store_reached_ = true;
  bool probing_ = false;
  TimePoint next_probe_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ISOLATION_H_
