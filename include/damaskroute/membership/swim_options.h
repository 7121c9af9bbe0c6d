#ifndef DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_
#define DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Intervals, timeouts and limits of `SwimState`.
struct SwimOptions {
  /// Time between two probes sent by this node. A target without an ack by then becomes suspect.
  std::chrono::milliseconds probe_period{500};

  /// Timeout of a direct ack, after which indirect probes are requested.
  std::chrono::milliseconds ack_timeout{150};

  /// Number of members that are requested to probe an unresponsive one.
  std::size_t indirect_probes = 3;

  /// Time in which a suspect can refute the suspicion.
  std::chrono::milliseconds suspicion_timeout{2000};

  /// An update is sent this many times log2(live members + 1), then dropped from the queue.
  std::size_t retransmit_factor = 2;

  /// Maximum number of live members; further ones are ignored. Also limits the number of members
  /// that are dead or have left. The default is the size of the largest supported fleet.
  std::size_t max_members = 7600;

  /// Time between two probes of dead members, which detect that a partition has healed.
  std::chrono::milliseconds dead_probe_period{5000};

  /// If more than this fraction of the table is dead or has left, a partition is assumed and dead
  /// members are probed in each probe period.
  double partition_fraction = 0.05;

  /// Number of dead members probed in each probe period during a partition.
  std::size_t partition_probes = 4;

  /// How long members that left are retained, so that delayed updates cannot revive them.
  std::chrono::minutes left_retention{10};

  /// How long dead members are retained, so that the sides of a partition can merge again.
  std::chrono::hours dead_retention{24};

  /// Time between two pulls of the whole table from a random member. Repairs the rare cases in
  /// which the bounded retransmission misses a member.
  std::chrono::minutes sync_period{60};

  /// Time between two attempts to join, as long as no other live member is known.
  std::chrono::milliseconds join_period{1000};

  /// If an event is handled later than this after it was due, the process was paused, and all
  /// running timeouts start over.
  std::chrono::milliseconds pause_threshold{100};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_
