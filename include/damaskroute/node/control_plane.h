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

/// What a `ControlPlane` needs from its node.
struct ControlHooks {
  std::function<void(const HolderLoop::Limit&)> set_limit;
  std::function<void(const ServiceName&)> view_changed;  ///< New replicas were published.
  std::function<void(const NodeName&, Message)> to_node;
  std::function<void(Revision)> config_installed;  ///< May be empty.
};

/// Identity and parameters of the node that a `ControlPlane` works for.
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

  /// Installs a configuration. Ignored if its revision is not greater than the present one.
  void InstallConfig(ConfigDocument config);

  /// Installs a roster. Ignored if its revision is not greater than the present one.
  void InstallRoster(Roster roster);

  /// The own seat is in the roster, so this node may hold shares. See
  /// `ShareTableOptions::had_predecessor`.
  void OnSeat(bool had_predecessor);

  /// Report of an own backend channel: numbered, applied and sent to the coordinators.
  void OnLocalReport(BackendReport report);

  /// Report of another holder.
  void OnPeerReport(const BackendReport& report);

  /// A node left, failed or restarted: its reports no longer count.
  void OnNodeLost(const NodeName& node);

  /// A node is alive again after it was called dead: it has dropped the reports of this one.
  void OnNodeFound(const NodeName& node);

  /// Messages to the peer may be lost; reports are sent to it again.
  void OnPeerLost(const Endpoint& peer);

  void OnShareMessage(const NodeName& from, const ShareMessage& message);
  void OnWithinLimit(const BackendName& backend, std::uint64_t sequence);

  /// Lets no call to backend servers start any more; for a node that ends and cannot pass its
  /// shares on.
  void StopHolding();

  /// No share is in use or on its way to another node, so the own seat may be removed.
  bool Released() const;

  /// Sum of the slots that this node may use.
  int HeldSlots() const;

  /// Own seat in the installed roster, or null.
  const Seat* FindOwnSeat() const { return roster_->Find(identity_.node); }

  Revision config_revision() const { return config_.revision; }
  Revision roster_revision() const { return roster_->revision; }

 private:
  void Rebuild();
  void Publish();
  void EnsureShareTable();
  void Apply(const ShareTable::Actions& actions);
  void ApplyLimit(const SetLimit& limit);
  void RefreshIntents();
  void MarkDirty(const ServiceName& service);
  void FlushViews();
  void SendReport(const BackendReport& report);
  void TellNewCoordinators();
  void RepeatReports();
  void ForgetTold(const Endpoint& peer);
  void ArmReportTimer();

  const ControlIdentity identity_;
  Snapshot<NodeView>& view_;
  ControlHooks hooks_;
  TokenBudget node_copies_;
  LoadTable loads_;
  ConfigDocument config_;
  std::shared_ptr<const Roster> roster_ = std::make_shared<const Roster>();
  std::shared_ptr<const Placement> placement_;
  bool holding_ = true;
  std::optional<bool> had_predecessor_;  // Set once the seat is in the roster.
  const TimePoint started_ = SteadyClock().Now();
  std::optional<ShareTable> shares_;
  PartitionView reports_;
  std::map<ServiceName, std::shared_ptr<ServiceRuntime>> services_;
  std::map<FrontName, std::shared_ptr<FrontMetrics>> fronts_;
  std::map<BackendName, SetLimit> limits_;
  std::map<BackendName, BackendReport> own_reports_;
  std::set<NodeName> lost_nodes_;  // Membership calls them gone; nothing is sent to them.
  // Processes that have been sent all own reports of the service.
  std::map<ServiceName, std::set<std::pair<Endpoint, Incarnation>>> told_;
  std::uint64_t repeat_round_ = 0;
  std::uint64_t report_sequence_;
  std::set<ServiceName> dirty_;
  asio::steady_timer flush_timer_;
  asio::steady_timer report_timer_;
  asio::steady_timer share_timer_;
  asio::steady_timer retell_timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CONTROL_PLANE_H
