#ifndef DAMASKROUTE_CRASHGUARD_CRASH_GOSSIP_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_GOSSIP_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/peer.h"

namespace damaskroute {

/// Decides when a node sends crash records to which peers. New knowledge goes to a few random peers
/// at once, which pass it on in the same way. That reaches nearly all nodes; the rest learn it by
/// exchanging all records with random peers while there are suspects. A node that has started asks
/// until a peer answers.
/// Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
class CrashGossip {
 public:
  /// Number of peers to which new knowledge is sent, and that a node asks when it starts.
  static constexpr std::size_t kFanOut = 4;

  /// Minimum time between two rounds of new knowledge. Bounds the messages when many connections
  /// are lost at once.
  static constexpr std::chrono::milliseconds kMinPushInterval{20};

  /// Time between two exchanges of all records.
  static constexpr std::chrono::milliseconds kSyncInterval{1000};

  /// How long a peer that is no longer listed still gets records. A store that lost the keys of the
  /// nodes is away for seconds to minutes, and the nodes run on meanwhile.
  static constexpr std::chrono::minutes kUnlistedPeerTime{5};

  /// Limit of the unlisted peers, about 100 bytes each.
  static constexpr std::size_t kMaxUnlistedPeers = 1000;

  /// What to send now.
  struct Step {
    std::vector<Peer> push_to;          ///< Receive the changed records.
    std::vector<Peer> sync_with;        ///< Exchange all records.
    TimePoint next = TimePoint::max();  ///< When to call `Next` again at the latest.
  };

  explicit CrashGossip(std::uint64_t seed) : random_(seed) {}

  /// Sets the peers that the store lists.
  void SetPeers(std::vector<Peer> peers, TimePoint now);

  /// A peer has answered an exchange of all records.
  void OnSynced() { synced_ = true; }

  /// `changed`: there are changed records. `suspects`: there are suspect requests.
  Step Next(bool changed, bool suspects, TimePoint now);

 private:
  struct UnlistedPeer {
    Peer peer;
    TimePoint until;
  };

  // At most `count` peers, and as many unlisted ones.
  std::vector<Peer> RandomPeers(std::size_t count);

  Random random_;
  std::vector<Peer> peers_;
  std::vector<UnlistedPeer> unlisted_;
  bool synced_ = false;
  bool asked_ = false;
  TimePoint next_push_;
  TimePoint next_sync_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_GOSSIP_H_
