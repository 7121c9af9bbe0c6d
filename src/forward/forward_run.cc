#include "damaskroute/forward/forward_run.h"

#include <algorithm>
#include <utility>

namespace damaskroute {
namespace {

// Bounds of Retry-After. The minimum is about the time in which a pause of a server ends.
constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr std::chrono::milliseconds kMaxRetryAfter{1000};

// A call with less time remaining than this is not sent, as no server could respond in time.
constexpr std::chrono::milliseconds kMinCallTime{4};

// Limit of the calls for one part, whatever their outcome. Bounds the search for a server while all
// are unreachable.
constexpr std::size_t kMaxCallsPerPart = 6;

// Fraction of the shards that must show overload for the query to indicate it.
constexpr double kOverloadedFraction = 0.6;

// Fraction of decided parts from which a query only waits for slow servers.
constexpr double kMostlyDoneFraction = 0.8;

// Interval at which a late call is reconsidered for a hedge that could not be sent.
constexpr std::chrono::milliseconds kHedgeCheckInterval{5};

// A hedge to a server that is stalled as well would not be faster.
bool CanServeHedge(const BackendChoice& choice, TimePoint now) {
  return choice.rank <= BackendRank::kDegraded && !choice.backend->call_stats.IsStalled(now);
}

CallObservation ObservationFrom(CallEnd end) {
  switch (end) {
    case CallEnd::kAnswered:
      return CallObservation::kAnswer;
    case CallEnd::kNotRun:
      return CallObservation::kShed;
    case CallEnd::kMisdirected:
    case CallEnd::kUnreachable:
      return CallObservation::kUnreachable;
    case CallEnd::kServerError:
    case CallEnd::kLost:
      break;
  }
  return CallObservation::kFailure;
}

}  // namespace

ForwardRun::ForwardRun(ForwardSpec spec, ForwardContext context)
    : spec_(std::move(spec)), context_(context), parts_(spec_.services.size()) {}

std::vector<ForwardAction> ForwardRun::Start(TimePoint now) {
  Actions actions;
  started_ = now;
  for (const ServiceName& service : spec_.services) {
    context_.budgets[service].OnRequest(context_.budget_options, now);
  }
  std::vector<BackendChoice> choices;
  choices.reserve(parts_.size());
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    choices.push_back(Choose(i, CallKind::kFirst, now));
  }
  if (RefuseIfUnservable(choices, now, actions)) return actions;
  calls_.reserve(parts_.size() + 4);
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].state != PartState::kOpen) continue;
    if (canary_ && HasOpenCall()) {
      Hold(i);
      continue;
    }
    if (Send(i, CallKind::kFirst, std::move(choices[i]), now, actions)) {
      if (canary_) calls_.back().probe = true;
      continue;
    }
    parts_[i].state = PartState::kFailed;
    ++failed_;
  }
  FinishIfDecided(now, actions);
  ScheduleWake(actions);
  return actions;
}

void ForwardRun::RunAsCanary() {
  canary_ = true;
  probes_left_ = 0;
}

// Leaves out the shards that cannot respond before the objective, and refuses a query that would
// have too few of them: its calls would only take capacity from queries that can be served.
bool ForwardRun::RefuseIfUnservable(const std::vector<BackendChoice>& choices, TimePoint now,
                                    Actions& actions) {
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (!IsUnservable(choices[i])) continue;
    parts_[i].state = PartState::kFailed;
    ++failed_;
    left_out_.push_back(spec_.services[i]);
  }
  if (parts_.size() - failed_ >= spec_.min_parts) return false;
  ForwardAnswer answer;
  answer.missing = failed_;
  answer.retry_after = RetryAfter(now);
  answer.reason = "too few backend servers can serve it in time";
  Finish(std::move(answer), now, actions);
  return true;
}

bool ForwardRun::IsUnservable(const BackendChoice& choice) const {
  if (!choice.backend) return true;
  return spec_.query && choice.rank >= BackendRank::kUnreachable;
}

BackendChoice ForwardRun::Choose(std::uint32_t index, CallKind kind, TimePoint now) const {
  CallTimes times{.deadline = spec_.deadline,
                  .answer_by = spec_.answer_by,
                  .mean_latency = context_.latency.mean(),
                  .hedge = kind == CallKind::kHedge};
  return context_.backends.Choose(spec_.services[index], parts_[index].tried, times, now);
}

// Faults that leave a request without servers mostly last seconds, so the caller should retry as
// late as it can, with time left for one more attempt. If servers have requested a backoff or limit
// their requests, the time at which enough of them accept requests is known.
std::chrono::milliseconds ForwardRun::RetryAfter(TimePoint now) const {
  using std::chrono::milliseconds;
  auto remaining = std::chrono::duration_cast<milliseconds>(spec_.deadline - now);
  auto default_delay = std::clamp(remaining * 3 / 10, kMinRetryAfter, kMaxRetryAfter);
  TimePoint accepts_at = EnoughAcceptAgainAt(now);
  if (accepts_at == TimePoint::max()) return default_delay;
  return std::max(std::chrono::ceil<milliseconds>(accepts_at - now), kMinRetryAfter);
}

// Time at which enough servers accept calls again for an answer with the minimum number of parts;
// `TimePoint::max()` if there are enough parts without them or too few with them.
TimePoint ForwardRun::EnoughAcceptAgainAt(TimePoint now) const {
  std::vector<TimePoint> accepted_at;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].state != PartState::kFailed) continue;
    TimePoint at = context_.backends.AcceptsAgainAt(spec_.services[i], now);
    if (at != TimePoint::max()) accepted_at.push_back(at);
  }
  std::size_t available = parts_.size() - failed_;
  if (available >= spec_.min_parts || available + accepted_at.size() < spec_.min_parts) {
    return TimePoint::max();
  }
  auto last = accepted_at.begin() + static_cast<std::ptrdiff_t>(spec_.min_parts - available - 1);
  std::nth_element(accepted_at.begin(), last, accepted_at.end());
  return *last;
}

std::vector<ForwardAction> ForwardRun::OnResult(std::uint32_t call_number, CallResult result,
                                                TimePoint now) {
  Actions actions;
  if (finished_ || !calls_[call_number].open) return actions;
  Call& call = calls_[call_number];
  std::uint32_t index = call.part;
  Part& part = parts_[index];
  if (result.end == CallEnd::kMisdirected) call.backend->misdirected = true;
  Close(call, ObservationFrom(result.end), now);
  if (MayHaveRun(result.end)) {
    may_have_run_ = true;
  } else {
    --part.attempts;
  }
  // A server that reports an error may not have run the request, so another one is probed.
  if (call.probe && result.end != CallEnd::kLost) ++probes_left_;
  if (result.end == CallEnd::kAnswered) {
    server_survived_ = true;
    canary_ = false;
  }
  if (part.state != PartState::kOpen) return actions;
  if (result.end == CallEnd::kNotRun || IsPastHalfOfObjective(now)) part.overloaded = true;
  if (result.end == CallEnd::kAnswered) {
    part.state = PartState::kDone;
    part.result = std::move(result);
    ++done_;
    for (std::uint32_t i = 0; i < calls_.size() && part.open_calls > 0; ++i) {
      if (calls_[i].open && calls_[i].part == index) Cancel(i, now, actions);
    }
  } else {
    OnPartFailed(call_number, std::move(result), now, actions);
  }
  SendHeld(now, actions);
  FinishIfDecided(now, actions);
  ScheduleWake(actions);
  return actions;
}

void ForwardRun::OnPartFailed(std::uint32_t call_number, CallResult result, TimePoint now,
                              Actions& actions) {
  std::uint32_t index = calls_[call_number].part;
  bool probe = calls_[call_number].probe;
  Part& part = parts_[index];
  bool may_have_run = MayHaveRun(result.end);
  bool is_lost = result.end == CallEnd::kLost;
  bool may_crash_servers = result.connection_lost && spec_.query && !server_survived_;
  if (result.end == CallEnd::kServerError) part.result = std::move(result);
  if (may_crash_servers) {
    if (part.open_calls == 0) Hold(index);
    return;
  }
  if (!may_have_run || (spec_.idempotent && !(canary_ && is_lost))) {
    BackendChoice choice = Choose(index, CallKind::kRetry, now);
    if (Send(index, CallKind::kRetry, std::move(choice), now, actions)) {
      if (probe && !is_lost) UseProbe();
      return;
    }
  }
  if (part.open_calls > 0) return;
  part.state = PartState::kFailed;
  ++failed_;
}

void ForwardRun::Hold(std::uint32_t index) {
  parts_[index].held = true;
  parts_[index].check_at = TimePoint::max();
  ++held_;
}

// Sends the held parts once a server has survived its call. If no other call can show that, sends
// one of them while probes are left, and gives them up otherwise.
void ForwardRun::SendHeld(TimePoint now, Actions& actions) {
  if (held_ == 0 || (!server_survived_ && HasOpenCall())) return;
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (!parts_[i].held) continue;
    bool may_send = server_survived_ || !may_have_run_ || probes_left_ > 0;
    if (may_send && SendHeldPart(i, now, actions)) {
      if (server_survived_) continue;
      UseProbe();
      return;
    }
    parts_[i].held = false;
    --held_;
    parts_[i].state = PartState::kFailed;
    ++failed_;
  }
}

// Makes the call that was sent last a probe.
void ForwardRun::UseProbe() {
  calls_.back().probe = true;
  --probes_left_;
}

bool ForwardRun::SendHeldPart(std::uint32_t index, TimePoint now, Actions& actions) {
  CallKind kind = parts_[index].tried.empty() ? CallKind::kFirst : CallKind::kRetry;
  if (!Send(index, kind, Choose(index, kind, now), now, actions)) return false;
  parts_[index].held = false;
  --held_;
  return true;
}

bool ForwardRun::HasOpenCall() const {
  return std::any_of(parts_.begin(), parts_.end(),
                     [](const Part& part) { return part.open_calls > 0; });
}

bool ForwardRun::Send(std::uint32_t index, CallKind kind, BackendChoice choice, TimePoint now,
                      Actions& actions) {
  Part& part = parts_[index];
  if (part.attempts >= spec_.max_attempts || part.tried.size() >= kMaxCallsPerPart) return false;
  if (now + kMinCallTime >= spec_.deadline) return false;
  if (!choice.backend) {
    ++counts_.without_capacity;
    return false;
  }
  if (kind == CallKind::kHedge && !CanServeHedge(choice, now)) return false;
  if (kind != CallKind::kFirst) {
    auto extra = kind == CallKind::kHedge ? ExtraKind::kHedge : ExtraKind::kRetry;
    ExtraBudget& budget = context_.budgets[spec_.services[index]];
    if (!budget.TryTake(context_.budget_options, extra, now)) {
      ++counts_.over_budget;
      return false;
    }
    ++(kind == CallKind::kHedge ? counts_.hedges : counts_.retries);
  }
  SendTo(index, std::move(choice.backend), now, actions);
  return true;
}

void ForwardRun::SendTo(std::uint32_t index, std::shared_ptr<Backend> backend, TimePoint now,
                        Actions& actions) {
  Part& part = parts_[index];
  ++counts_.calls;
  ++part.attempts;
  ++part.open_calls;
  part.tried.push_back(backend);
  backend->call_stats.OnSent(now);
  backend->cold.OnSent(now);
  backend->rate_limit.OnSent(now);
  auto number = static_cast<std::uint32_t>(calls_.size());
  calls_.push_back({index, backend, now, true});
  part.check_at = spec_.idempotent ? LateAt(calls_.back()) : TimePoint::max();
  actions.push_back(SendCall{number, std::move(backend)});
}

// A call is late at its age limit, or earlier if its server stalls for all calls.
TimePoint ForwardRun::LateAt(const Call& call) const {
  if (spec_.hedge_after == Duration::max()) return TimePoint::max();
  return std::min(call.sent + spec_.hedge_after, call.backend->call_stats.stalled_at());
}

void ForwardRun::Close(Call& call, CallObservation kind, TimePoint now) {
  call.open = false;
  --parts_[call.part].open_calls;
  if (kind == CallObservation::kAnswer) context_.latency.Add(now - call.sent);
  context_.backends.OnCallEnded(*call.backend, call.sent, kind, context_.latency.mean(), now);
}

void ForwardRun::Cancel(std::uint32_t number, TimePoint now, Actions& actions) {
  may_have_run_ = true;
  Close(calls_[number], CallObservation::kCancellation, now);
  actions.push_back(CancelCall{number});
}

void ForwardRun::CancelOpenCalls(TimePoint now, Actions& actions) {
  for (std::uint32_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].open) Cancel(i, now, actions);
  }
}

std::vector<ForwardAction> ForwardRun::OnTimer(TimePoint now) {
  Actions actions;
  if (finished_) return actions;
  wake_at_ = TimePoint::max();
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].state == PartState::kOpen && parts_[i].check_at <= now) {
      CheckHedge(i, now, actions);
    }
  }
  FinishIfDecided(now, actions);
  ScheduleWake(actions);
  return actions;
}

const ForwardRun::Call* ForwardRun::OldestOpenCall(std::uint32_t index) const {
  for (const Call& call : calls_) {
    if (call.open && call.part == index) return &call;
  }
  return nullptr;
}

void ForwardRun::CheckHedge(std::uint32_t index, TimePoint now, Actions& actions) {
  Part& part = parts_[index];
  part.check_at = TimePoint::max();
  const Call* call = OldestOpenCall(index);
  bool may_hedge = !canary_ && part.open_calls == 1 && part.attempts < spec_.max_attempts;
  if (call == nullptr || !may_hedge) return;
  TimePoint late_at = LateAt(*call);
  if (now < late_at) {
    part.check_at = late_at;
    return;
  }
  bool may_crash_servers = held_ > 0 && !server_survived_;
  if (!may_crash_servers &&
      Send(index, CallKind::kHedge, Choose(index, CallKind::kHedge, now), now, actions)) {
    return;
  }
  // Other servers may recover, and the budget refills.
  part.check_at = now + kHedgeCheckInterval;
}

// Answers as soon as no better result can be expected in time.
void ForwardRun::FinishIfDecided(TimePoint now, Actions& actions) {
  if (finished_) return;
  bool all_decided = done_ + failed_ == parts_.size();
  if (!spec_.query) {
    if (done_ == 1) {
      ForwardAnswer answer;
      answer.kind = AnswerKind::kPassedOn;
      answer.parts.push_back(std::move(*parts_[0].result));
      return Finish(std::move(answer), now, actions);
    }
    if (all_decided && parts_[0].result) {
      ForwardAnswer answer;
      answer.kind = AnswerKind::kPassedOn;
      answer.reason = "the server reports an error";
      answer.parts.push_back(std::move(*parts_[0].result));
      return Finish(std::move(answer), now, actions);
    }
  }
  bool enough = done_ >= spec_.min_parts;
  if (spec_.query && enough && (all_decided || now >= spec_.answer_by)) {
    return FinishQuery(now, actions);
  }
  if (parts_.size() - failed_ < spec_.min_parts) {
    return Finish(FailureAnswer(AnswerKind::kFailed, "no backend server answered", now), now,
                  actions);
  }
  if (now >= spec_.deadline) {
    return Finish(FailureAnswer(AnswerKind::kTimedOut, "the deadline passed", now), now, actions);
  }
}

void ForwardRun::FinishQuery(TimePoint now, Actions& actions) {
  ForwardAnswer answer;
  answer.kind = AnswerKind::kMerged;
  answer.missing = parts_.size() - done_;
  answer.parts.reserve(done_);
  for (Part& part : parts_) {
    if (part.state == PartState::kDone) answer.parts.push_back(std::move(*part.result));
  }
  if (answer.missing > 0) answer.reason = failed_ > 0 ? "parts failed" : "parts were late";
  Finish(std::move(answer), now, actions);
}

// Builds an answer without a result: a refusal only if no server can have run the request.
ForwardAnswer ForwardRun::FailureAnswer(AnswerKind kind_if_run, const char* reason,
                                        TimePoint now) const {
  ForwardAnswer answer;
  bool open = std::any_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.open; });
  answer.kind = may_have_run_ || open ? kind_if_run : AnswerKind::kRefused;
  answer.missing = parts_.size() - done_;
  answer.retry_after = RetryAfter(now);
  answer.reason = reason;
  return answer;
}

// A few overloaded shards indicate slow servers, which the selection of servers avoids; many at
// once indicate too much load.
LoadSignal ForwardRun::LoadSignalOf(const ForwardAnswer& answer, TimePoint now) const {
  if (!spec_.query || calls_.empty() || spec_.answer_by == TimePoint::max()) {
    return LoadSignal::kNone;
  }
  auto overloaded = std::count_if(parts_.begin(), parts_.end(), [&](const Part& part) {
    return part.overloaded || (part.state == PartState::kOpen && IsPastHalfOfObjective(now));
  });
  bool is_overload =
      static_cast<double>(overloaded) >= kOverloadedFraction * static_cast<double>(parts_.size());
  bool in_time = answer.kind == AnswerKind::kMerged && now <= spec_.answer_by;
  if (is_overload) return LoadSignal::kOverloaded;
  return in_time ? LoadSignal::kHealthy : LoadSignal::kNone;
}

bool ForwardRun::IsPastHalfOfObjective(TimePoint now) const {
  return spec_.answer_by != TimePoint::max() && now - started_ > (spec_.answer_by - started_) / 2;
}

void ForwardRun::Finish(ForwardAnswer answer, TimePoint now, Actions& actions) {
  finished_ = true;
  load_signal_ = LoadSignalOf(answer, now);
  CancelOpenCalls(now, actions);
  actions.push_back(Answer{std::move(answer)});
}

bool ForwardRun::is_mostly_done() const {
  return finished_ || static_cast<double>(done_ + failed_) >=
                          kMostlyDoneFraction * static_cast<double>(parts_.size());
}

std::vector<ForwardAction> ForwardRun::Abort(const char* reason, TimePoint now) {
  Actions actions;
  if (finished_) return actions;
  if (spec_.query && done_ >= spec_.min_parts) {
    FinishQuery(now, actions);
  } else {
    Finish(FailureAnswer(AnswerKind::kFailed, reason, now), now, actions);
  }
  return actions;
}

std::vector<ForwardAction> ForwardRun::Abandon(TimePoint now) {
  Actions actions;
  if (finished_) return actions;
  finished_ = true;
  CancelOpenCalls(now, actions);
  return actions;
}

void ForwardRun::ScheduleWake(Actions& actions) {
  if (finished_) return;
  TimePoint next = spec_.deadline;
  if (spec_.query && done_ >= spec_.min_parts) next = std::min(next, spec_.answer_by);
  for (const Part& part : parts_) {
    if (part.state == PartState::kOpen) next = std::min(next, part.check_at);
  }
  if (next == wake_at_) return;
  wake_at_ = next;
  actions.push_back(WakeAt{next});
}

int ForwardRun::attempts_left() const {
  if (may_have_run_ && !spec_.idempotent) return 0;
  int used = 0;
  for (const Part& part : parts_) used = std::max(used, part.attempts);
  return spec_.max_attempts - used;
}

bool ForwardRun::TakeRepeat(TimePoint now) {
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].attempts == 0) continue;
    ExtraBudget& budget = context_.budgets[spec_.services[i]];
    if (!budget.TryTake(context_.budget_options, ExtraKind::kRetry, now)) return false;
  }
  return true;
}

}  // namespace damaskroute
