#ifndef DAMASKROUTE_NODE_REPLICATION_H_
#define DAMASKROUTE_NODE_REPLICATION_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/config/config_decoder.h"
#include "damaskroute/config/config_document.h"
#include "damaskroute/dissemination/config_replica.h"
#include "damaskroute/membership/membership_driver.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Callbacks from a `Replication` to its node. They run on the control loop.
struct ReplicationHooks {
  std::function<void(const Endpoint&, Message)> send;
  std::function<void(ConfigDocument)> install_config;
  std::function<void(Roster)> install_roster;
  std::function<void(const Member&)> member_changed;
  std::function<void()> superseded;     ///< Another process runs under this node's name.
  std::function<bool()> drop_datagram;  ///< See `MembershipHandlers`. May be empty.
  std::function<bool(const Endpoint&)>
      is_partitioned;  ///< See `MembershipHandlers::is_partitioned`.
};

/// Runs the membership protocol and replicates configuration and roster among this node and its
/// peers. Belongs to the control loop and is used on its thread only, except where noted.
class Replication {
 public:
  Replication(EventLoop& loop, const Member& self, const PeerKeys& keys, ReplicationHooks hooks);

  /// Binds the UDP socket. Unavailable if that fails.
  absl::Status Open() { return membership_.Open(); }

  /// Joins through the seeds.
  void Start(std::vector<Endpoint> seeds);

  /// Announces that this node leaves.
  void Leave() { membership_.Leave(); }

  /// Handles a message about members, configuration or roster; returns false for any other.
  bool OnMessage(const Endpoint& from, const Message& message);

  void OnPeerLost(const Endpoint& peer);

  /// Documents that this node read from the store or committed to it.
  void OnStoreConfig(Revision revision, std::string document);
  void OnStoreRoster(Revision revision, std::string document);

  /// The store responded to a read.
  void OnStoreContact();

  /// Whether this node watches the store for its peers. Thread-safe.
  bool is_reader() const { return is_reader_.load(std::memory_order_relaxed); }

  /// The current state of the replicas. On the loop's thread.
  ReplicaStatus ConfigStatus() const { return config_.Status(SteadyClock().Now()); }
  ReplicaStatus RosterStatus() const { return roster_.Status(SteadyClock().Now()); }
  /// Lowest configuration revision among this node and its live peers, as last reported.
  Revision LowestConfigRevision() const;
  std::vector<Member> LiveMembers() const { return membership_.state().LiveMembers(); }
  const SwimState& members() const { return membership_.state(); }

  /// Traffic of the membership protocol. Thread-safe.
  const MembershipCounters& membership_counters() const { return membership_.counters(); }

 private:
  void Execute(const ReplicaActions& actions, bool is_roster);
  void Install(const DocumentInstalled& installed, bool is_roster);
  void OnRevisions(const RevisionsSeen& seen);
  void SchedulePeerUpdate();
  void UpdatePeers();
  void AdvertiseRevisions();
  void ArmTimer();

  ReplicationHooks hooks_;
  ConfigReplica config_;
  ConfigDecoder config_decoder_;
  ConfigReplica roster_;
  MembershipDriver membership_;
  std::map<NodeName, Revision> peer_revisions_;
  asio::steady_timer timer_;
  bool peer_update_pending_ = false;
  asio::steady_timer peer_update_timer_;
  std::atomic<bool> is_reader_{true};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REPLICATION_H_
