#ifndef DAMASKROUTE_SCATTER_SCATTER_GATHER_H_
#define DAMASKROUTE_SCATTER_SCATTER_GATHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/peer/shard_reply.h"
#include "damaskroute/scatter/query_result.h"
#include "damaskroute/scatter/query_spec.h"
#include "damaskroute/scatter/replica_selector.h"
#include "damaskroute/scatter/scatter_action.h"
#include "damaskroute/scatter/scatter_policies.h"
#include "damaskroute/scatter/service_view.h"

namespace damaskroute {

/// One query over all shards of a service: a state machine that takes events and gives actions.
/// Used by one thread. After `Finish` all events give no actions.
class ScatterGather {
 public:
  ScatterGather(QuerySpec spec, std::shared_ptr<const ServiceView> view, ScatterPolicies policies);
  ~ScatterGather();
  ScatterGather(const ScatterGather&) = delete;
  ScatterGather& operator=(const ScatterGather&) = delete;

  /// Sends the first calls. Call once, before any other event.
  std::vector<ScatterAction> Start(TimePoint now);

  /// A holder sent a reply. A reply that matches no open call is counted and has no effect.
  std::vector<ScatterAction> OnReply(const ShardReply& reply, TimePoint now);

  /// The connection to a holder broke: its calls get no reply.
  std::vector<ScatterAction> OnHolderLost(const NodeName& holder, TimePoint now);

  /// The time of the last `SetTimer` has come. Earlier calls are harmless.
  std::vector<ScatterAction> OnTimer(TimePoint now);

  /// The replicas of the service changed. Calls that are open stay with their replicas.
  std::vector<ScatterAction> OnViewChanged(std::shared_ptr<const ServiceView> view, TimePoint now);

  /// The caller went away: cancels the open calls, reports lost connections and gives no `Finish`.
  std::vector<ScatterAction> Abandon(TimePoint now);

  const QuerySpec& spec() const { return spec_; }
  bool finished() const { return finished_; }

 private:
  enum class PartState : std::uint8_t {
    kOpen,         // At least one call is open.
    kWaitingRows,  // Not retried until another shard shows that the query crashes nothing.
    kWaitingView,  // The version is gone; a newer one may become known.
    kDone,
    kFailed,
  };
  // A range of keys that is asked as a whole.
  struct Part {
    KeyRange range;
    PartState state = PartState::kOpen;
    bool late = false;
    std::uint16_t attempts = 0;
    std::uint16_t open_calls = 0;
    std::int32_t last_call = -1;  // Head of the list of calls through Call::previous.
    TimePoint next_hedge = TimePoint::max();
  };
  struct Call {
    ReplicaChoice target;
    std::uint32_t part = 0;
    std::uint32_t attempt = 0;
    std::int32_t previous = -1;
    bool open = true;
    bool only_holder_failed = false;  // Another holder may reach the same backend server.
    TimePoint sent;
  };
  enum class CallKind : std::uint8_t { kFirst, kCopy, kRetry };
  struct Pending;

  const Segment& ChooseCanary();
  void AskAll(CallKind kind, TimePoint now, Pending& pending);
  KeyRangeSet Covered();
  void AskRemaining(TimePoint now, Pending& pending);
  void Ask(const KeyRange& range, CallKind kind, std::int32_t history, std::uint16_t attempts,
           TimePoint now, Pending& pending);
  bool SendFor(std::uint32_t part_index, const Segment& segment, CallKind kind, TimePoint now,
               Pending& pending);
  std::optional<std::uint32_t> MatchOpenCall(const ShardReply& reply) const;
  void CloseCall(std::uint32_t call_id);
  void OnRows(std::uint32_t call_id, const ShardReply& reply, TimePoint now, Pending& pending);
  void OnFailure(std::uint32_t call_id, ShardOutcome outcome, TimePoint now, Pending& pending);
  void Fail(std::uint32_t part_index);
  bool MayRetryNow(ShardOutcome outcome, TimePoint now) const;
  bool HasTimeForCall(TimePoint now) const;
  bool Retry(std::uint32_t part_index, TimePoint now, Pending& pending);
  void Probe(TimePoint now, Pending& pending);
  void ResumeParts(PartState state, TimePoint now, Pending& pending);
  bool TryRestart(TimePoint now, Pending& pending);
  void RecordLatency(const Call& call, TimePoint now);
  void CancelCall(std::uint32_t call_id, bool record, TimePoint now, Pending& pending);
  void Hedge(TimePoint now, Pending& pending);
  void CollectExclusions(const Part& part);
  void ReleaseReports(Pending& pending);
  bool HasPart(PartState state) const;
  bool IsSuspect() const { return lost_connections_ > 0 && !has_rows_; }
  std::vector<ScatterAction> Complete(TimePoint now, Pending& pending);
  void FinishNow(TimePoint now, Pending& pending);
  void ReleasePolicies();

  const QuerySpec spec_;
  ScatterPolicies policies_;
  // Calls point into the views, so the views used so far are kept.
  std::vector<std::shared_ptr<const ServiceView>> views_;
  const VersionMap* map_ = nullptr;  // Of the version in use, in the last view.
  IndexVersion version_ = 0;
  TimePoint finish_at_;
  TimePoint timer_at_ = TimePoint::max();
  std::vector<Part> parts_;
  std::vector<Call> calls_;                // Position is the call id.
  std::vector<KeyRange> accepted_;         // Disjoint, of the version in use.
  std::vector<ReportCrash> held_reports_;  // Empty once there are rows.
  std::vector<NodeName> lost_holders_;
  std::vector<Exclusion> excluded_;
  std::uint32_t active_parts_ = 0;  // Neither done nor failed.
  std::uint32_t open_calls_ = 0;
  std::uint32_t canaries_ = 0;
  std::uint32_t lost_connections_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t restarts_ = 0;
  bool version_gone_ = false;
  bool canary_pending_ = false;
  bool has_rows_ = false;
  bool probed_ = false;
  bool may_have_run_ = false;
  bool finished_ = false;
  bool policies_held_ = false;
  QueryResult result_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SCATTER_GATHER_H_
