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

/// Runs one query over all shards of a service. A state machine without I/O: each event returns the
/// actions to execute. Not thread-safe. Events after `Finish` return no actions.
///
/// The key range is split into parts, one per segment of the partition map. A part may have several
/// calls: the first call, hedges and retries. The first accepted rows complete the part.
class ScatterGather {
 public:
  ScatterGather(QuerySpec spec, std::shared_ptr<const ServiceView> view, ScatterPolicies policies);
  ~ScatterGather();
  ScatterGather(const ScatterGather&) = delete;
  ScatterGather& operator=(const ScatterGather&) = delete;

  /// Sends the first calls. Must be called once, before any other event.
  std::vector<ScatterAction> Start(TimePoint now);

  /// A holder replied. A reply that matches no open call is counted and otherwise ignored.
  std::vector<ScatterAction> OnReply(const ShardReply& reply, TimePoint now);

  /// The connection to a holder broke, so its open calls get no reply.
  std::vector<ScatterAction> OnHolderLost(const NodeName& holder, TimePoint now);

  /// The last `SetTimer` is due. Earlier calls are harmless.
  std::vector<ScatterAction> OnTimer(TimePoint now);

  /// The replicas of the service changed. Open calls stay at their replicas.
  std::vector<ScatterAction> OnViewChanged(std::shared_ptr<const ServiceView> view, TimePoint now);

  /// The caller disconnected. Cancels the open calls, reports lost connections and returns no
  /// `Finish`.
  std::vector<ScatterAction> Abandon(TimePoint now);

  const QuerySpec& spec() const { return spec_; }
  bool finished() const { return finished_; }

 private:
  enum class PartState : std::uint8_t {
    kOpen,         // At least one call is open.
    kWaitingRows,  // Retried once rows of another shard show that the query crashes nothing.
    kWaitingView,  // The version is gone; a view with a newer one may arrive.
    kDone,
    kFailed,
  };
  // A key range that is requested as a whole.
  struct Part {
    KeyRange range;
    PartState state = PartState::kOpen;
    bool late = false;
    std::uint16_t attempts = 0;
    std::uint16_t open_calls = 0;
    std::int32_t last_call = -1;  // Head of the list of its calls, linked by Call::previous.
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
  enum class CallKind : std::uint8_t { kFirst, kHedge, kRetry };
  struct Pending;

  const Segment& ChooseCanary();
  void SendFirstCalls(CallKind kind, TimePoint now, Pending& pending);
  KeyRangeSet CoveredRanges();
  void SendRemainingCalls(TimePoint now, Pending& pending);
  void SendCallsFor(const KeyRange& range, CallKind kind, std::int32_t history,
                    std::uint16_t attempts, TimePoint now, Pending& pending);
  bool SendPartCall(std::uint32_t part_index, const Segment& segment, CallKind kind, TimePoint now,
                    Pending& pending);
  std::optional<std::uint32_t> MatchOpenCall(const ShardReply& reply) const;
  void CloseCall(std::uint32_t call_id);
  void OnRows(std::uint32_t call_id, const ShardReply& reply, TimePoint now, Pending& pending);
  void OnFailure(std::uint32_t call_id, ShardOutcome outcome, TimePoint now, Pending& pending);
  void FailPart(std::uint32_t part_index);
  bool MayRetryNow(ShardOutcome outcome, TimePoint now) const;
  bool HasTimeForCall(TimePoint now) const;
  bool Retry(std::uint32_t part_index, TimePoint now, Pending& pending);
  void SendProbe(TimePoint now, Pending& pending);
  void ResumeParts(PartState state, TimePoint now, Pending& pending);
  bool TryRestart(TimePoint now, Pending& pending);
  void RecordLatency(const Call& call, TimePoint now);
  void CancelCall(std::uint32_t call_id, bool record, TimePoint now, Pending& pending);
  void Hedge(TimePoint now, Pending& pending);
  void CollectExclusions(const Part& part);
  void EmitHeldReports(Pending& pending);
  bool HasPartIn(PartState state) const;
  bool IsSuspect() const { return lost_connections_ > 0 && !has_rows_; }
  // Restarts, probes or ends the query if necessary, and returns the actions of the event.
  std::vector<ScatterAction> FinishEvent(TimePoint now, Pending& pending);
  void FinishQuery(TimePoint now, Pending& pending);
  void ReleasePolicies();

  const QuerySpec spec_;
  ScatterPolicies policies_;
  // All views used so far, because calls point into them.
  std::vector<std::shared_ptr<const ServiceView>> views_;
  const VersionMap* map_ = nullptr;  // Of `version_` in the last view.
  IndexVersion version_ = 0;
  TimePoint finish_at_;
  TimePoint timer_at_ = TimePoint::max();
  std::vector<Part> parts_;
  std::vector<Call> calls_;                // Indexed by call id.
  std::vector<KeyRange> accepted_ranges_;  // Disjoint, of `version_`.
  std::vector<ReportCrash> held_reports_;  // Empty once there are rows.
  std::vector<NodeName> lost_holders_;
  std::vector<Exclusion> excluded_;
  std::uint32_t active_parts_ = 0;  // Neither done nor failed.
  std::uint32_t open_calls_ = 0;
  std::uint32_t canaries_ = 0;
  std::uint32_t lost_connections_ = 0;
  std::uint32_t late_parts_ = 0;
  std::uint32_t restarts_ = 0;
  bool version_gone_ = false;
  bool canary_pending_ = false;
  bool has_rows_ = false;
  bool probed_ = false;
  bool may_have_run_ = false;
  bool finished_ = false;
  bool counted_in_policies_ = false;
  QueryResult result_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SCATTER_GATHER_H_
