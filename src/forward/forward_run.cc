#include "damaskroute/forward/forward_run.h"

#include <algorithm>
#include <utility>

namespace damaskroute {
namespace {

// Bounds of Retry-After. The shortest is about the time in which a pause of a server ends.
constexpr std::chrono::milliseconds kLeastRetryAfter{100};
constexpr std::chrono::milliseconds kLongestRetryAfter{1000};

// A call with less time than this left is not sent, as no server could answer it.
constexpr std::chrono::milliseconds kLeastCallTime{4};

// Calls for one part, however they end. Bounds the search for a server while all are unreachable.
constexpr std::size_t kMaxTries = 6;

// Share of the shards that must be strained at once for the load to be too high.
constexpr double kStrainedShare = 0.6;

// A query with this part of its shards done waits for slow servers only.
constexpr double kMostParts = 0.8;

// An open call is looked at again after this time if its server has become silent meanwhile.
constexpr std::chrono::milliseconds kCheckInterval{5};

// A copy at a server that is silent as well would not come back sooner.
bool MayTakeCopy(const BackendChoice& choice, TimePoint now) {
  return choice.standing <= BackendStanding::kDoubtful && !choice.backend->evidence.IsStalled(now);
}

EvidenceOf EvidenceFrom(CallEnd end) {
  switch (end) {
    case CallEnd::kAnswered:
      return EvidenceOf::kAnswer;
    case CallEnd::kNotRun:
      return EvidenceOf::kShed;
    case CallEnd::kMisdirected:
    case CallEnd::kUnreachable:
      return EvidenceOf::kUnreachable;
    case CallEnd::kServerError:
    case CallEnd::kLost:
      break;
  }
  return EvidenceOf::kFailure;
}

bool MayHaveRun(CallEnd end) {
  return end == CallEnd::kAnswered || end == CallEnd::kServerError || end == CallEnd::kLost;
}

}  // namespace

ForwardRun::ForwardRun(ForwardSpec spec, ForwardPolicies policies)
    : spec_(std::move(spec)), policies_(policies), parts_(spec_.services.size()) {}

std::vector<ForwardAction> ForwardRun::Start(TimePoint now) {
  Actions actions;
  started_ = now;
  for (const ServiceName& service : spec_.services) {
    policies_.budgets[service].OnRequest(policies_.budget_options, now);
  }
  std::vector<BackendChoice> choices;
  choices.reserve(parts_.size());
  for (std::uint32_t i = 0; i < parts_.size(); ++i) choices.push_back(Choose(i, now));
  if (RefuseAtOnce(choices, now, actions)) return actions;
  calls_.reserve(parts_.size() + 4);
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].state != PartState::kOpen) continue;
    if (Send(i, CallKind::kFirst, std::move(choices[i]), now, actions)) continue;
    parts_[i].state = PartState::kFailed;
    ++failed_;
  }
  Conclude(now, actions);
  ScheduleWake(actions);
  return actions;
}

// Leaves out the shards that cannot come in before the objective, and refuses a query that would
// have too few of them: its calls would only take room from queries that can be served.
bool ForwardRun::RefuseAtOnce(const std::vector<BackendChoice>& choices, TimePoint now,
                              Actions& actions) {
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (!IsHopeless(choices[i])) continue;
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

bool ForwardRun::IsHopeless(const BackendChoice& choice) const {
  if (!choice.backend) return true;
  return spec_.query && choice.standing >= BackendStanding::kUnreachable;
}

CallTimes ForwardRun::Times() const {
  return {spec_.deadline, spec_.answer_by, policies_.latency.usual()};
}

BackendChoice ForwardRun::Choose(std::uint32_t index, TimePoint now) const {
  return policies_.backends.Choose(spec_.services[index], parts_[index].tried, Times(), now);
}

// Troubles that leave a request without servers mostly last seconds, so the caller comes back as
// late as leaves it time for one more attempt. Where servers have asked for a pause it is known
// when there will be enough of them.
std::chrono::milliseconds ForwardRun::RetryAfter(TimePoint now) const {
  using std::chrono::milliseconds;
  auto left = std::chrono::duration_cast<milliseconds>(spec_.deadline - now);
  auto usual = std::clamp(left * 3 / 10, kLeastRetryAfter, kLongestRetryAfter);
  TimePoint returns = EnoughReturnAt(now);
  if (returns == TimePoint::max()) return usual;
  return std::max(std::chrono::ceil<milliseconds>(returns - now), kLeastRetryAfter);
}

// When servers that asked for a pause make up the parts that are missing for an answer;
// `TimePoint::max()` if they do not.
TimePoint ForwardRun::EnoughReturnAt(TimePoint now) const {
  std::vector<TimePoint> returns;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].state != PartState::kFailed) continue;
    TimePoint at = policies_.backends.ReturnOf(spec_.services[i], now);
    if (at != TimePoint::max()) returns.push_back(at);
  }
  std::size_t there = parts_.size() - failed_;
  if (there >= spec_.min_parts || there + returns.size() < spec_.min_parts) return TimePoint::max();
  auto last = returns.begin() + static_cast<std::ptrdiff_t>(spec_.min_parts - there - 1);
  std::nth_element(returns.begin(), last, returns.end());
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
  Close(call, EvidenceFrom(result.end), now);
  if (MayHaveRun(result.end)) {
    may_have_run_ = true;
  } else {
    --part.attempts;
  }
  if (part.state != PartState::kOpen) return actions;
  if (result.end == CallEnd::kNotRun || IsLateFor(now)) part.strained = true;
  if (result.end == CallEnd::kAnswered) {
    part.state = PartState::kDone;
    part.result = std::move(result);
    ++done_;
    for (std::uint32_t i = 0; i < calls_.size() && part.open_calls > 0; ++i) {
      if (calls_[i].open && calls_[i].part == index) Cancel(i, now, actions);
    }
  } else {
    OnPartFailed(index, std::move(result), now, actions);
  }
  Conclude(now, actions);
  ScheduleWake(actions);
  return actions;
}

void ForwardRun::OnPartFailed(std::uint32_t index, CallResult result, TimePoint now,
                              Actions& actions) {
  Part& part = parts_[index];
  bool may_repeat = spec_.idempotent || !MayHaveRun(result.end);
  if (result.end == CallEnd::kServerError) part.result = std::move(result);
  if (may_repeat && Send(index, CallKind::kRepeat, Choose(index, now), now, actions)) return;
  if (part.open_calls > 0) return;
  part.state = PartState::kFailed;
  ++failed_;
}

bool ForwardRun::Send(std::uint32_t index, CallKind kind, BackendChoice choice, TimePoint now,
                      Actions& actions) {
  Part& part = parts_[index];
  if (part.attempts >= spec_.max_attempts || part.tried.size() >= kMaxTries) return false;
  if (now + kLeastCallTime >= spec_.deadline) return false;
  if (!choice.backend) {
    ++counts_.without_room;
    return false;
  }
  if (kind == CallKind::kCopy && !MayTakeCopy(choice, now)) return false;
  if (kind != CallKind::kFirst) {
    auto extra = kind == CallKind::kCopy ? ExtraKind::kCopy : ExtraKind::kRepeat;
    ExtraBudget& budget = policies_.budgets[spec_.services[index]];
    if (!budget.TryTake(policies_.budget_options, extra, now)) {
      ++counts_.over_budget;
      return false;
    }
    ++(kind == CallKind::kCopy ? counts_.copies : counts_.repeats);
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
  backend->evidence.OnSent(now);
  backend->cold.OnSent(now);
  auto number = static_cast<std::uint32_t>(calls_.size());
  calls_.push_back({index, backend, now, true});
  part.check_at = spec_.idempotent ? LateAt(calls_.back()) : TimePoint::max();
  actions.push_back(SendCall{number, std::move(backend)});
}

// A call is late at its age limit, or earlier if its server has fallen silent to all calls.
TimePoint ForwardRun::LateAt(const Call& call) const {
  if (spec_.copy_after == Duration::max()) return TimePoint::max();
  return std::min(call.sent + spec_.copy_after, call.backend->evidence.stalled_at());
}

void ForwardRun::Close(Call& call, EvidenceOf kind, TimePoint now) {
  call.open = false;
  --parts_[call.part].open_calls;
  if (kind == EvidenceOf::kAnswer) policies_.latency.Add(now - call.sent);
  policies_.backends.OnCallEnded(*call.backend, call.sent, kind, policies_.latency.usual(), now);
}

void ForwardRun::Cancel(std::uint32_t number, TimePoint now, Actions& actions) {
  may_have_run_ = true;
  Close(calls_[number], EvidenceOf::kCancellation, now);
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
      CheckCopy(i, now, actions);
    }
  }
  Conclude(now, actions);
  ScheduleWake(actions);
  return actions;
}

const ForwardRun::Call* ForwardRun::OldestOpenCall(std::uint32_t index) const {
  for (const Call& call : calls_) {
    if (call.open && call.part == index) return &call;
  }
  return nullptr;
}

void ForwardRun::CheckCopy(std::uint32_t index, TimePoint now, Actions& actions) {
  Part& part = parts_[index];
  part.check_at = TimePoint::max();
  const Call* call = OldestOpenCall(index);
  if (call == nullptr || part.open_calls > 1 || part.attempts >= spec_.max_attempts) return;
  TimePoint late_at = LateAt(*call);
  if (now < late_at) {
    part.check_at = late_at;
    return;
  }
  if (Send(index, CallKind::kCopy, Choose(index, now), now, actions)) return;
  // The other servers may recover, and the budget fills again.
  part.check_at = now + kCheckInterval;
}

// Answers as soon as nothing better can be expected in time.
void ForwardRun::Conclude(TimePoint now, Actions& actions) {
  if (finished_) return;
  bool all_over = done_ + failed_ == parts_.size();
  if (!spec_.query) {
    if (done_ == 1) {
      ForwardAnswer answer;
      answer.kind = AnswerKind::kPassedOn;
      answer.parts.push_back(std::move(*parts_[0].result));
      return Finish(std::move(answer), now, actions);
    }
    if (all_over && parts_[0].result) {
      ForwardAnswer answer;
      answer.kind = AnswerKind::kPassedOn;
      answer.reason = "the server reports an error";
      answer.parts.push_back(std::move(*parts_[0].result));
      return Finish(std::move(answer), now, actions);
    }
  }
  bool enough = done_ >= spec_.min_parts;
  if (spec_.query && enough && (all_over || now >= spec_.answer_by)) {
    return FinishQuery(now, actions);
  }
  if (parts_.size() - failed_ < spec_.min_parts) {
    return Finish(Shortfall(AnswerKind::kFailed, "no backend server answered", now), now, actions);
  }
  if (now >= spec_.deadline) {
    return Finish(Shortfall(AnswerKind::kTimedOut, "the deadline passed", now), now, actions);
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

// An answer without a result: a refusal only if no server can have run the request.
ForwardAnswer ForwardRun::Shortfall(AnswerKind kind_if_run, const char* reason,
                                    TimePoint now) const {
  ForwardAnswer answer;
  bool open = std::any_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.open; });
  answer.kind = may_have_run_ || open ? kind_if_run : AnswerKind::kRefused;
  answer.missing = parts_.size() - done_;
  answer.retry_after = RetryAfter(now);
  answer.reason = reason;
  return answer;
}

// A few strained shards mean slow servers, which are left to the choice of servers; many at once
// mean too much load.
LoadSign ForwardRun::SignOf(const ForwardAnswer& answer, TimePoint now) const {
  if (!spec_.query || calls_.empty() || spec_.answer_by == TimePoint::max()) return LoadSign::kNone;
  auto strained = std::count_if(parts_.begin(), parts_.end(), [&](const Part& part) {
    return part.strained || (part.state == PartState::kOpen && IsLateFor(now));
  });
  bool many = static_cast<double>(strained) >= kStrainedShare * static_cast<double>(parts_.size());
  bool whole = answer.kind == AnswerKind::kMerged && now <= spec_.answer_by;
  if (many) return LoadSign::kStrained;
  return whole ? LoadSign::kFine : LoadSign::kNone;
}

bool ForwardRun::IsLateFor(TimePoint now) const {
  return spec_.answer_by != TimePoint::max() && now - started_ > (spec_.answer_by - started_) / 2;
}

void ForwardRun::Finish(ForwardAnswer answer, TimePoint now, Actions& actions) {
  finished_ = true;
  load_sign_ = SignOf(answer, now);
  CancelOpenCalls(now, actions);
  actions.push_back(Answer{std::move(answer)});
}

bool ForwardRun::is_mostly_done() const {
  return finished_ ||
         static_cast<double>(done_ + failed_) >= kMostParts * static_cast<double>(parts_.size());
}

std::vector<ForwardAction> ForwardRun::GiveUp(const char* reason, TimePoint now) {
  Actions actions;
  if (finished_) return actions;
  if (spec_.query && done_ >= spec_.min_parts) {
    FinishQuery(now, actions);
  } else {
    Finish(Shortfall(AnswerKind::kFailed, reason, now), now, actions);
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

}  // namespace damaskroute
