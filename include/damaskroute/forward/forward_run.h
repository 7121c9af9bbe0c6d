#ifndef DAMASKROUTE_FORWARD_FORWARD_RUN_H_
#define DAMASKROUTE_FORWARD_FORWARD_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/forward_action.h"
#include "damaskroute/forward/forward_counts.h"
#include "damaskroute/forward/forward_policies.h"
#include "damaskroute/forward/forward_spec.h"
#include "damaskroute/forward/overload_limit.h"

namespace damaskroute {

/// One caller's request on its way to one service or to all shards of a query: a state machine that
/// takes events and gives actions. After `Answer` all events give no actions.
class ForwardRun {
 public:
  ForwardRun(ForwardSpec spec, ForwardPolicies policies);
  ForwardRun(const ForwardRun&) = delete;
  ForwardRun& operator=(const ForwardRun&) = delete;

  /// Late calls get no copies. Call before `Start`.
  void ForbidCopies() { spec_.copy_after = Duration::max(); }

  /// Sends the first calls. Call once, before any other event.
  std::vector<ForwardAction> Start(TimePoint now);

  /// A call ended.
  std::vector<ForwardAction> OnResult(std::uint32_t call, CallResult result, TimePoint now);

  /// The time of the last `WakeAt` has come. Earlier calls are harmless.
  std::vector<ForwardAction> OnTimer(TimePoint now);

  /// Ends the request now, with what is there.
  std::vector<ForwardAction> GiveUp(const char* reason, TimePoint now);

  /// The caller went away: cancels the open calls and gives no answer.
  std::vector<ForwardAction> Abandon(TimePoint now);

  bool finished() const { return finished_; }
  const ForwardSpec& spec() const { return spec_; }
  const ForwardCounts& counts() const { return counts_; }

  /// Whether few of the first calls are still open, so that the run no longer loads the servers as
  /// a whole.
  bool is_mostly_done() const;

  /// What the run tells about the load, once it has ended.
  LoadSign load_sign() const { return load_sign_; }

  /// Shards that were left out from the start, as none of their servers could be used.
  const std::vector<ServiceName>& left_out() const { return left_out_; }

 private:
  enum class PartState : std::uint8_t { kOpen, kDone, kFailed };
  struct Part {
    PartState state = PartState::kOpen;
    int attempts = 0;  // Calls whose server may have run the request.
    int open_calls = 0;
    bool strained = false;                  // Shed, or late by half of the time wanted.
    TimePoint check_at = TimePoint::max();  // When the open call may be late.
    std::vector<std::shared_ptr<Backend>> tried;
    std::optional<CallResult> result;  // Of a finished part, or the last error of a server.
  };
  struct Call {
    std::uint32_t part = 0;
    std::shared_ptr<Backend> backend;
    TimePoint sent;
    bool open = true;
  };
  enum class CallKind : std::uint8_t { kFirst, kCopy, kRepeat };
  using Actions = std::vector<ForwardAction>;

  bool RefuseAtOnce(const std::vector<BackendChoice>& choices, TimePoint now, Actions& actions);
  bool IsHopeless(const BackendChoice& choice) const;
  CallTimes Times() const;
  std::chrono::milliseconds RetryAfter(TimePoint now) const;
  TimePoint EnoughReturnAt(TimePoint now) const;
  BackendChoice Choose(std::uint32_t part, TimePoint now) const;
  bool Send(std::uint32_t part, CallKind kind, BackendChoice choice, TimePoint now,
            Actions& actions);
  void SendTo(std::uint32_t part, std::shared_ptr<Backend> backend, TimePoint now,
              Actions& actions);
  void Close(Call& call, EvidenceOf kind, TimePoint now);
  void Cancel(std::uint32_t call, TimePoint now, Actions& actions);
  void CancelOpenCalls(TimePoint now, Actions& actions);
  void OnPartFailed(std::uint32_t part, CallResult result, TimePoint now, Actions& actions);
  void CheckCopy(std::uint32_t part, TimePoint now, Actions& actions);
  TimePoint LateAt(const Call& call) const;
  const Call* OldestOpenCall(std::uint32_t part) const;
  bool IsLateFor(TimePoint now) const;
  LoadSign SignOf(const ForwardAnswer& answer, TimePoint now) const;
  void Conclude(TimePoint now, Actions& actions);
  void FinishQuery(TimePoint now, Actions& actions);
  void Finish(ForwardAnswer answer, TimePoint now, Actions& actions);
  ForwardAnswer Shortfall(AnswerKind kind_if_run, const char* reason, TimePoint now) const;
  void ScheduleWake(Actions& actions);

  ForwardSpec spec_;
  ForwardPolicies policies_;
  std::vector<Part> parts_;
  std::vector<Call> calls_;  // Position is the number of the call.
  std::size_t done_ = 0;
  std::size_t failed_ = 0;
  bool may_have_run_ = false;
  bool finished_ = false;
  TimePoint wake_at_ = TimePoint::max();
  ForwardCounts counts_;
  std::vector<ServiceName> left_out_;
  TimePoint started_;
  LoadSign load_sign_ = LoadSign::kNone;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_RUN_H_
