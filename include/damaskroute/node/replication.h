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

/// What a `Replication` needs from its node. Called on the control loop.
struct ReplicationHooks {
  std::function<void(const Endpoint&, Message)> send;
  std::function<void(ConfigDocument)> install_config;
  std::function<void(Roster)> install_roster;
  std::function<void(const Member&)> member_changed;
  std::function<void()> superseded;             ///< Another process runs under this node's name.
  std::function<bool()> drop_datagram;          ///< See `MembershipHandlers`. May be empty.
  std::function<bool(const Endpoint&)> is_cut;  ///< See `MembershipHandlers::is_cut`.
};

/// Membership, configuration and roster as this node shares them with its peers. Belongs to the
/// control loop; on its thread only, except where said otherwise.
class Replication {
 public:
  Replication(EventLoop& loop, const Member& self, const PeerKeys& keys, ReplicationHooks hooks);

  /// Binds the UDP socket. Unavailable if that fails.
  absl::Status Open() { return membership_.Open(); }

  /// Joins through the seeds.
  void Start(std::vector<Endpoint> seeds);

  /// Announces the end of this node.
  void Leave() { membership_.Leave(); }

  /// Takes in a message about members, configuration or roster; false for all others.
  bool OnMessage(const Endpoint& from, const Message& message);

  void OnPeerLost(const Endpoint& peer);

  /// Documents that this node read from the store or committed to it.
  void OnStoreConfig(Revision revision, std::string document);
  void OnStoreRoster(Revision revision, std::string document);

  /// The store answered a read.
  void OnStoreContact();

  /// Whether this node watches the store for its peers. Thread-safe.
  bool is_reader() const { return is_reader_.load(std::memory_order_relaxed); }

  /// Copies of the present state. On the loop's thread.
  ReplicaStatus ConfigStatus() const { return config_.Status(SteadyClock().Now()); }
  ReplicaStatus RosterStatus() const { return roster_.Status(SteadyClock().Now()); }
  /// Lowest configuration revision among this node and its live peers, as they last told it.
  Revision LowestConfigRevision() const;
  std::vector<Member> LiveMembers() const { return membership_.state().LiveMembers(); }
  const SwimState& members() const { return membership_.state(); }

  /// Traffic of the membership. Readable from any thread.
  const MembershipCounters& membership_counters() const { return membership_.counters(); }

 private:
  void Do(const ReplicaActions& actions, bool is_roster);
  void Install(const DocumentInstalled& installed, bool is_roster);
  void OnRevisions(const RevisionsSeen& seen);
  void MembersChanged();
  void UpdatePeers();
  void TellRevisions();
  void ArmTimer();

  ReplicationHooks hooks_;
  ConfigReplica config_;
  ConfigDecoder config_decoder_;
  ConfigReplica roster_;
  MembershipDriver membership_;
  std::map<NodeName, Revision> peer_revisions_;
  asio::steady_timer timer_;
  bool members_changed_ = false;
  asio::steady_timer members_timer_;
  std::atomic<bool> is_reader_{true};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REPLICATION_H_
