#ifndef DAMASKROUTE_NODE_CONTROL_PLANE_H
#define DAMASKROUTE_NODE_CONTROL_PLANE_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "damaskroute/config/config_document.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/holder_loop.h"
#include "damaskroute/node/node_view.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/scatter/load_table.h"
#include "damaskroute/scatter/partition_view.h"
#include "damaskroute/shares/share_table.h"

namespace damaskroute {

/// Callbacks from a `ControlPlane` to its node.
struct ControlHooks {
  std::function<void(const HolderLoop::Limit&)> set_limit;
  std::function<void(const ServiceName&)> view_changed;  ///< A new `ServiceView` was published.
  std::function<void(const NodeName&, Message)> send_to_node;
  std::function<void(Revision)> config_installed;  ///< May be empty.
};

/// Identity and parameters of the node that a `ControlPlane` belongs to.
struct ControlIdentity {
  NodeName node;
  ZoneName zone;
  Incarnation incarnation = 0;
  double backends_per_node = Placement::kDefaultBackendsPerNode;
  Duration longest_call = std::chrono::seconds(10);  ///< See `NodeSettings::longest_call`.
};

/// Turns configuration, roster and backend reports into the snapshots that the request path reads
/// and into the limits of the backend channels. Belongs to the control loop; used on its thread
/// only.
class ControlPlane {
 public:
  ControlPlane(EventLoop& loop, ControlIdentity identity, Snapshot<NodeView>& view,
               ControlHooks hooks);

  /// Installs a configuration. Ignored if its revision is not greater than the current one.
  void InstallConfig(ConfigDocument config);

  /// Installs a roster. Ignored if its revision is not greater than the current one.
  void InstallRoster(Roster roster);

  /// This node's entry is in the roster, so this node may hold shares. See
  /// `ShareTableOptions::had_predecessor`.
  void OnLocalEntryAdded(bool had_predecessor);

  /// Numbers a report of one of this node's backend channels, applies it and sends it to the
  /// coordinators.
  void OnLocalReport(BackendReport report);

  /// Applies a report of another holder.
  void OnPeerReport(const BackendReport& report);

  /// A node left, failed or restarted: its reports are discarded.
  void OnNodeDown(const NodeName& node);

  /// A node is alive again after it was considered dead. It has discarded the reports of this node,
  /// so they are sent again.
  void OnNodeUp(const NodeName& node);

  /// The connection to the peer was lost, and messages may be lost with it; reports are sent again.
  void OnPeerLost(const Endpoint& peer);

  void OnShareMessage(const NodeName& from, const ShareMessage& message);
  void OnWithinLimit(const BackendName& backend, std::uint64_t sequence);

  /// Starts no more calls to backend servers; for a node that shuts down and cannot hand over its
  /// shares.
  void StopHolding();

  /// Whether no share is in use or being handed over, so that this node's roster entry may be
  /// removed.
  bool HasReleasedShares() const;

  /// Sum of the slots that this node may use.
  int HeldSlots() const;

  /// This node's entry in the installed roster, or nullptr.
  const RosterEntry* FindLocalEntry() const { return roster_->Find(identity_.node); }

  Revision config_revision() const { return config_.revision; }
  Revision roster_revision() const { return roster_->revision; }

 private:
  void Rebuild();
  void Publish();
  void EnsureShareTable();
  void Apply(const ShareTable::Actions& actions);
  void ApplyLimit(const SetLimit& limit);
  void ReapplyLimits();
  void MarkDirty(const ServiceName& service);
  void FlushViews();
  void SendReport(const BackendReport& report);
  void SendReportsToNewCoordinators();
  void ResendReports();
  void ForgetReportedPeer(const Endpoint& peer);
  void ArmReportTimer();

  const ControlIdentity identity_;
  Snapshot<NodeView>& view_;
  ControlHooks hooks_;
  TokenBudget node_hedge_budget_;
  LoadTable loads_;
  ConfigDocument config_;
  std::shared_ptr<const Roster> roster_ = std::make_shared<const Roster>();
  std::shared_ptr<const Placement> placement_;
  bool holding_ = true;
  std::optional<bool> had_predecessor_;  // Set once this node's entry is in the roster.
  const TimePoint started_ = SteadyClock().Now();
  std::optional<ShareTable> shares_;
  PartitionView reports_;
  std::map<ServiceName, std::shared_ptr<ServiceRuntime>> services_;
  std::map<FrontName, std::shared_ptr<FrontMetrics>> fronts_;
  std::map<BackendName, SetLimit> limits_;
  std::map<BackendName, BackendReport> local_reports_;
  std::set<NodeName> down_nodes_;  // Not live according to membership.
  // Processes that have been sent all local reports of the service.
  std::map<ServiceName, std::set<std::pair<Endpoint, Incarnation>>> reported_to_;
  std::uint64_t resend_round_ = 0;
  std::uint64_t report_sequence_;
  std::set<ServiceName> dirty_;
  asio::steady_timer flush_timer_;
  asio::steady_timer report_timer_;
  asio::steady_timer share_timer_;
  asio::steady_timer resend_timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CONTROL_PLANE_H
