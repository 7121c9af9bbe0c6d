#ifndef DAMASKROUTE_DISSEMINATION_CONFIG_REPLICA_H_
#define DAMASKROUTE_DISSEMINATION_CONFIG_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/dissemination/replica_action.h"
#include "damaskroute/dissemination/replica_options.h"
#include "damaskroute/dissemination/replica_status.h"

namespace damaskroute {

/// This node's replica of a document that the store holds under increasing revisions. It uses no
/// sockets and no clock: it takes events with their time and returns actions. It is used for
/// the configuration and for the roster, and treats their contents as opaque bytes. The installed
/// revision never decreases, whatever a peer sends or a restored store contains.
class ConfigReplica {
 public:
  /// `seed` should differ between nodes.
  ConfigReplica(ReplicaOptions options, std::uint64_t seed);

  /// This node, as a reader, has read the document from the store or committed it.
  ReplicaActions OnStoreDocument(TimePoint now, Revision revision, std::string document);

  /// The store has confirmed to this node that `revision()` is the latest one.
  void OnStoreContact(TimePoint now);

  /// A live member has the revision, and knows of a store contact at `store_contact`.
  ReplicaActions OnRevisionSeen(TimePoint now, const Endpoint& member, Revision revision,
                                TimePoint store_contact);

  ReplicaActions OnAnnounce(TimePoint now, const Endpoint& from, const ConfigAnnounce& announce);
  ReplicaActions OnPull(TimePoint now, const Endpoint& from, const ConfigPull& pull);
  ReplicaActions OnData(TimePoint now, const Endpoint& from, const ConfigData& data);

  /// The connection to the peer is lost; a pending pull from it is sent to another peer.
  ReplicaActions OnPeerLost(TimePoint now, const Endpoint& peer);

  /// To be called at `NextTimer()` or later.
  ReplicaActions OnTimer(TimePoint now);
  TimePoint NextTimer() const;

  /// Endpoints of all live members except this node.
  void SetPeers(std::vector<Endpoint> peers);

  Revision revision() const { return revision_; }
  ContentHash hash() const { return hash_; }

  /// The document, or nullptr before the first one.
  const std::shared_ptr<const std::string>& document() const { return document_; }

  /// Latest known contact of any node with the store. To be sent to other nodes.
  TimePoint store_contact() const { return store_contact_; }

  ReplicaStatus Status(TimePoint now) const;

 private:
  struct Delta {
    Revision base_revision = 0;
    ContentHash base_hash = 0;
    Revision revision = 0;
    ContentHash hash = 0;
    std::string bytes;
  };

  struct PendingPull {
    Endpoint from;
    TimePoint deadline;
  };

  void RecordPeerRevision(TimePoint now, const Endpoint& peer, Revision revision);
  void Pull(TimePoint now, const Endpoint& from, bool whole, ReplicaActions& actions);
  void PullFromNewerPeer(TimePoint now, ReplicaActions& actions);
  void Install(TimePoint now, Revision revision, ContentHash hash, std::string document,
               ReplicaActions& actions);
  bool InstallDeltas(TimePoint now, const ConfigData& data, ReplicaActions& actions);
  void KeepDelta(Delta delta);
  void Announce(ReplicaActions& actions);

  ReplicaOptions options_;
  Random random_;
  Revision revision_ = 0;
  ContentHash hash_ = 0;
  std::shared_ptr<const std::string> document_;
  TimePoint store_contact_;
  std::vector<Endpoint> peers_;
  std::vector<Endpoint> announce_to_;
  std::map<Endpoint, Revision> newer_peers_;  // Peers known to have a greater revision.
  Revision max_seen_revision_ = 0;
  TimePoint missing_since_;  // When a revision greater than `revision_` became known.
  std::optional<PendingPull> pull_;
  TimePoint next_bootstrap_;
  std::deque<Delta> deltas_;  // Each results in the base of the next, the last one in the document.
  std::size_t delta_bytes_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t conflicts_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_CONFIG_REPLICA_H_
