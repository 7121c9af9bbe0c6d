#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_DECIDER_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_DECIDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/version_gate.h"
#include "damaskroute/rollout/canary_share.h"
#include "damaskroute/rollout/rollout_event.h"
#include "damaskroute/rollout/rollout_options.h"
#include "damaskroute/rollout/rollout_order.h"
#include "damaskroute/rollout/rollout_record.h"
#include "damaskroute/rollout/rollout_report.h"
#include "damaskroute/rollout/rollout_write.h"

namespace damaskroute {

/// A node's state machine for the rollouts of one service: which versions get calls, what the node
/// publishes, and, while it holds the record, what is decided. Events with times go in; writes come
/// out of `NextWrite` and `NextReport`.
class RolloutDecider {
 public:
  RolloutDecider(ServiceName service, NodeName node, RolloutOptions options, std::uint64_t seed);

  /// The store has an order. `is_new`: it was written while this node followed the store.
  void OnOrder(const RolloutOrder& order, Revision revision, bool is_new, TimePoint now);
  /// The order was overwritten by an unusable value; the one in force stays.
  void OnOrderUnusable(Revision revision) { order_key_ = revision; }
  void OnOrderRemoved(TimePoint now);
  void OnRecord(const RolloutRecord& record, Revision revision, TimePoint now);
  /// `revision`: of the removal.
  void OnRecordRemoved(Revision revision, TimePoint now);
  void OnReport(const NodeName& node, const RolloutReport& report, TimePoint now);
  void OnReportRemoved(const NodeName& node) { reports_.erase(node); }
  /// The store was restored from an older copy; all of it is delivered again.
  void OnStoreRestored(TimePoint now);
  /// Called several times per second while `IsActive`. `store_age`: age of what is known of the
  /// store. Without this call for a second, for example because the process was frozen, the target
  /// version gets no calls until the state of the store is known again.
  void OnTick(TimePoint now, Duration store_age);

  /// `live`: nodes with a key in the store. `counted`: nodes that share limits.
  void SetNodes(std::set<NodeName> live, const std::vector<NodeName>& counted);
  /// Versions of the servers of the service that have an entry and do not leave. Call when all
  /// entries of the store are known, and after each change.
  void SetVersions(std::set<std::string> versions);
  /// Calls in progress of this node to versions other than the target.
  void SetOpenCalls(std::int64_t count) { open_calls_ = count; }

  /// Whether a call may go to a server of this version.
  bool Allows(const std::string& version, TimePoint now) const;
  /// The preferred versions of a call. `repeated`: it is a hedge or a retry.
  VersionPreference PreferenceFor(bool repeated, TimePoint now) const;
  void OnSent(const std::string& version);
  void OnResponse(const std::string& version, const std::string& route, bool failed,
                  Duration latency, TimePoint now);

  /// The write of the record that is due, if any.
  std::optional<RolloutWrite> NextWrite(TimePoint now);
  void OnWritten(const RolloutWrite& write, Revision revision, TimePoint now);
  /// The write failed or was not answered. The record is written again after a pause.
  void OnWriteFailed(TimePoint now);

  /// The report that is due, if any.
  std::optional<RolloutReport> NextReport(TimePoint now);
  void OnReportWritten(const RolloutReport& report, TimePoint now);
  void OnReportFailed(TimePoint now) { next_report_ = now + options_.report_interval; }
  /// Whether this node's report is no longer needed.
  bool HasStaleReport() const { return report_written_ && !IsActive(); }
  void OnReportDeleted() { report_written_ = false; }

  /// Whether the store lacks a state that this node knows.
  bool IsStoredBehind() const;
  /// Whether a rollout is in progress.
  bool IsActive() const { return order_ && !IsFinal(state()); }
  bool is_holder() const { return IsActive() && stored_ && stored_->record.holder == node_; }
  /// Whether decisions are distributed now, so that changes in the store matter at once.
  bool IsUrgent() const { return is_holder() || (IsActive() && state() != RolloutState::kRunning); }
  /// Whether calls are restricted to some versions at all.
  bool IsRestricted() const { return order_.has_value() || known_.has_value(); }
  /// State that this node follows.
  RolloutState state() const;
  /// The state that this node's calls follow: a node that has seen enough bad responses does not
  /// follow a promotion, unless it has reported it: `succeeded` may then be stored already.
  RolloutState SeenState() const;
  const std::string& target() const;
  const CanaryShare* share() const { return order_ ? &order_->share : nullptr; }
  const std::optional<RolloutRecord>& known() const { return known_; }
  bool stopped() const { return stopped_; }
  /// Evidence of all nodes.
  RolloutEvidence Total() const;

  std::vector<RolloutEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Order {
    RolloutOrder order;
    Revision revision = 0;
    TimePoint seen_at;
    TimePoint written_at;  // Earliest possible.
    CanaryShare share;
    TimePoint deadline() const { return written_at + order.duration; }
  };
  struct Stored {
    RolloutRecord record;
    Revision revision = 0;
    TimePoint seen_at;
  };

  bool IsOfOrder(const RolloutRecord& record) const {
    return order_ && record.order == order_->revision &&
           record.target_version == order_->order.target_version;
  }
  bool HasTarget() const { return versions_.contains(order_->order.target_version); }
  bool HasOthers() const;
  bool IsExcluded(const std::string& version) const;
  bool AllowsOther(const std::string& version) const;
  bool AllowsCanary(TimePoint now) const;
  TimePoint PromoteAt() const;
  Duration ConfirmTime() const;
  Duration RankDelay() const;
  bool IsHeld(TimePoint now) const;
  bool IsUnsure(TimePoint now) const;
  std::chrono::milliseconds AgeAt(TimePoint now) const;
  void LimitWrittenAt(std::chrono::milliseconds age, TimePoint now);
  void Follow(const RolloutRecord& record, TimePoint now);
  std::optional<RolloutWrite> NextAsHolder(TimePoint now);
  RolloutState NextState(TimePoint now);
  RolloutState NextStateWhileRunning(TimePoint now);
  RolloutState RollBack(std::string reason);
  RolloutWrite RewriteKnown() const;
  bool AllConfirmed(RolloutState state) const;
  RolloutWrite MakeWrite(RolloutState state, TimePoint now) const;
  static void Exclude(RolloutRecord& record, const std::string& version);
  void AddEvent(const char* message, std::string reason, TimePoint now, bool warning = false);
  void CheckStop(const RolloutEvidence& evidence, TimePoint now);
  Duration ReportInterval() const;

  const ServiceName service_;
  const NodeName node_;
  const RolloutOptions options_;
  const std::uint64_t process_;
  std::optional<Order> order_;
  Revision order_key_ = 0;  // Revision of the order's key, usable or not; 0 if there is none.
  bool order_removed_ = false;
  std::optional<Stored> stored_;
  TimePoint rewrite_from_;              // When a stored record that is behind may be replaced.
  std::optional<RolloutRecord> known_;  // The record that this node follows.
  bool known_was_stored_ = false;
  TimePoint decided_at_;  // When this node learned of the state that it follows.
  TimePoint confirmed_at_ = TimePoint::max();
  std::map<NodeName, std::map<std::uint64_t, RolloutReport>> reports_;  // By process.
  RolloutEvidence own_;
  std::uint64_t own_changes_ = 0;
  bool has_new_evidence_ = false;
  bool stopped_ = false;  // This node saw enough bad responses.
  TimePoint last_tick_;
  TimePoint confirmed_store_at_;             // What is known of the store was current then.
  TimePoint hold_since_ = TimePoint::min();  // End of the last interruption of the ticks.
  std::set<NodeName> live_;
  int counted_ = 1;
  int rank_ = 0;
  std::set<std::string> versions_;
  bool has_versions_ = false;
  std::int64_t open_calls_ = 0;
  TimePoint next_write_;
  TimePoint last_written_;
  TimePoint next_report_;
  bool report_written_ = false;
  bool promotion_reported_ = false;  // A report of `promoting` was sent, and may be stored.
  std::uint64_t reported_changes_ = 0;
  RolloutState reported_state_ = RolloutState::kRunning;
  std::int64_t reported_open_ = 0;
  std::string reason_;  // Of the next state, for the log.
  bool logged_no_target_ = false;
  std::vector<RolloutEvent> events_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_DECIDER_H_
