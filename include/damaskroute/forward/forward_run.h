#ifndef DAMASKROUTE_FORWARD_FORWARD_RUN_H_
#define DAMASKROUTE_FORWARD_FORWARD_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/forward_action.h"
#include "damaskroute/forward/forward_context.h"
#include "damaskroute/forward/forward_counts.h"
#include "damaskroute/forward/forward_spec.h"
#include "damaskroute/forward/overload_limit.h"

namespace damaskroute {

/// One caller's request to one service, or to all shards of a query: a state machine that takes
/// events and returns actions. A part is the answer of one shard within an answer. After `Answer`
/// all events return no actions.
class ForwardRun {
 public:
  ForwardRun(ForwardSpec spec, ForwardContext context);
  ForwardRun(const ForwardRun&) = delete;
  ForwardRun& operator=(const ForwardRun&) = delete;

  /// Disables hedging. Call before `Start`.
  void DisableHedging() { spec_.hedge_after = Duration::max(); }

  /// The request may crash backend servers: sends the call of one part first, and the others after
  /// it is answered; a call that may have run is neither hedged nor retried. Has no effect on calls
  /// that are in progress.
  void RunAsCanary();

  /// Sends the first calls. Call once, before any other event.
  std::vector<ForwardAction> Start(TimePoint now);

  /// Handles the end of a call.
  std::vector<ForwardAction> OnResult(std::uint32_t call, CallResult result, TimePoint now);

  /// Handles the timer of the last `WakeAt`. Calling it early is harmless.
  std::vector<ForwardAction> OnTimer(TimePoint now);

  /// Aborts the request: answers with the parts received so far if they suffice, else with an
  /// error.
  std::vector<ForwardAction> Abort(const char* reason, TimePoint now);

  /// The caller disconnected: cancels the open calls without an answer.
  std::vector<ForwardAction> Abandon(TimePoint now);

  bool finished() const { return finished_; }
  const ForwardSpec& spec() const { return spec_; }
  const ForwardCounts& counts() const { return counts_; }

  /// Whether most parts are decided, so that the run no longer loads the shards as a whole.
  bool is_mostly_done() const;

  /// Load signal of the run; valid once it has finished.
  LoadSignal load_signal() const { return load_signal_; }

  /// Whether a server may have run the request.
  bool may_have_run() const { return may_have_run_; }

  /// Shards that were left out from the start because none of their servers was usable.
  const std::vector<ServiceName>& left_out() const { return left_out_; }

  /// After a failure: the number of backend servers per service that may still run the request;
  /// 0 if it may have run and is not idempotent.
  int attempts_left() const;

  /// After a failure: takes one extra call from the budget of each service that may have run the
  /// request, so that another node may repeat it. False if a budget is used up.
  bool TakeRepeat(TimePoint now);

 private:
  enum class PartState : std::uint8_t { kOpen, kDone, kFailed };
  struct Part {
    PartState state = PartState::kOpen;
    int attempts = 0;  // Calls that may have run the request.
    int open_calls = 0;
    bool held = false;        // Not sent before a server has survived a call of another part.
    bool overloaded = false;  // Shed, or took more than half the time to `answer_by`.
    TimePoint check_at = TimePoint::max();  // When to consider a hedge.
    std::vector<std::shared_ptr<Backend>> tried;
    std::optional<CallResult> result;  // Result of a done part, or the last server error.
  };
  struct Call {
    std::uint32_t part = 0;
    std::shared_ptr<Backend> backend;
    TimePoint sent;
    bool open = true;
    bool probe = false;  // See `probes_left_`.
  };
  enum class CallKind : std::uint8_t { kFirst, kHedge, kRetry };
  using Actions = std::vector<ForwardAction>;

  bool RefuseIfUnservable(const std::vector<BackendChoice>& choices, TimePoint now,
                          Actions& actions);
  bool IsUnservable(const BackendChoice& choice) const;
  std::chrono::milliseconds RetryAfter(TimePoint now) const;
  TimePoint EnoughAcceptAgainAt(TimePoint now) const;
  BackendChoice Choose(std::uint32_t part, CallKind kind, TimePoint now) const;
  bool Send(std::uint32_t part, CallKind kind, BackendChoice choice, TimePoint now,
            Actions& actions);
  void SendTo(std::uint32_t part, std::shared_ptr<Backend> backend, TimePoint now,
              Actions& actions);
  void Close(Call& call, CallObservation kind, TimePoint now);
  void Cancel(std::uint32_t call, TimePoint now, Actions& actions);
  void CancelOpenCalls(TimePoint now, Actions& actions);
  void OnPartFailed(std::uint32_t call, CallResult result, TimePoint now, Actions& actions);
  void Hold(std::uint32_t part);
  void SendHeld(TimePoint now, Actions& actions);
  void UseProbe();
  bool SendHeldPart(std::uint32_t part, TimePoint now, Actions& actions);
  bool HasOpenCall() const;
  void CheckHedge(std::uint32_t part, TimePoint now, Actions& actions);
  TimePoint LateAt(const Call& call) const;
  const Call* OldestOpenCall(std::uint32_t part) const;
  bool IsPastHalfOfObjective(TimePoint now) const;
  LoadSignal LoadSignalOf(const ForwardAnswer& answer, TimePoint now) const;
  void FinishIfDecided(TimePoint now, Actions& actions);
  void FinishQuery(TimePoint now, Actions& actions);
  void Finish(ForwardAnswer answer, TimePoint now, Actions& actions);
  ForwardAnswer FailureAnswer(AnswerKind kind_if_run, const char* reason, TimePoint now) const;
  void ScheduleWake(Actions& actions);

  ForwardSpec spec_;
  ForwardContext context_;
  std::vector<Part> parts_;
  std::vector<Call> calls_;  // By call number.
  std::size_t done_ = 0;
  std::size_t failed_ = 0;
  std::size_t held_ = 0;
  int probes_left_ = 1;  // Calls of held parts that may be sent before a server has survived one.
  bool server_survived_ = false;  // A server answered without an error.
  bool canary_ = false;
  bool may_have_run_ = false;
  bool finished_ = false;
  TimePoint wake_at_ = TimePoint::max();
  ForwardCounts counts_;
  std::vector<ServiceName> left_out_;
  TimePoint started_;
  LoadSignal load_signal_ = LoadSignal::kNone;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_RUN_H_
