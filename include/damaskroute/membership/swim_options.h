#ifndef DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_
#define DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Periods and limits of `SwimState`.
struct SwimOptions {
  /// Time between two probes of this node; a probe without an ack by then makes a suspect.
  std::chrono::milliseconds probe_period{500};

  /// Wait for a direct ack before others are asked to probe.
  std::chrono::milliseconds ack_timeout{150};

  /// Members asked to probe one that did not answer.
  std::size_t indirect_probes = 3;

  /// Time for a suspect to contradict.
  std::chrono::milliseconds suspicion_timeout{2000};

  /// An update is sent this many times log2(live members + 1), then no longer.
  std::size_t retransmit_factor = 2;

  /// Greatest number of live members; others are ignored. Gone members are bounded by the same
  /// number. The default is the largest fleet.
  std::size_t max_members = 7600;

  /// Time between two probes of dead members, which find out that a partition has healed.
  std::chrono::milliseconds dead_probe_period{5000};

  /// If more than this fraction of the table is dead, the cause is a partition, and dead members
  /// are probed in each probe period.
  double partition_fraction = 0.05;

  /// Dead members probed in a probe period after a partition.
  std::size_t partition_probes = 4;

  /// Members that left are kept this long, so that late news cannot bring them back.
  std::chrono::minutes keep_left{10};

  /// Dead members are kept this long, so that the sides of a partition find each other again.
  std::chrono::hours keep_dead{24};

  /// Time between two exchanges of the whole table with a random member. Repairs the rare losses
  /// of the bounded retransmission.
  std::chrono::minutes sync_period{60};

  /// Time between two attempts to join while no other member is known.
  std::chrono::milliseconds join_period{1000};

  /// Events later than this after they were due mean that the process was paused; all running
  /// timeouts then start again.
  std::chrono::milliseconds pause_threshold{100};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_OPTIONS_H_
