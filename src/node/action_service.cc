#include "damaskroute/node/action_service.h"

#include <algorithm>
#include <utility>

#include "damaskroute/actions/foreign_decision.h"
#include "damaskroute/api/action_answer.h"
#include "damaskroute/api/forwarded_answer.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/scatter/service_view.h"
#include "fmt/format.h"
#include "rapidjson/document.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;

// After a refusal that says `not_run` another backend server is tried, so often at most.
constexpr int kMaxAttempts = 3;
constexpr std::chrono::seconds kLedgerPeriod{5};

// A result that arrives this long after the deadline is still recorded.
constexpr std::chrono::seconds kKeepLateAttempts{60};

// For a repeat at a front that this node does not know.
constexpr std::chrono::seconds kDeadlineWithoutFront{5};

TimePoint Now() { return SteadyClock().Now(); }

microseconds TimeLeft(TimePoint deadline) {
  return std::max(std::chrono::duration_cast<microseconds>(deadline - Now()), microseconds(0));
}

HttpResponse UnknownFront(const FrontName& front) {
  return MakeProblemResponse(404, "unknown_front",
                             fmt::format("no search front is named \"{}\"", front.substr(0, 64)));
}

// The request as peers and backend servers get it.
std::string RenderBody(const ActionRequest& request) {
  return fmt::format(R"({{"action":{},"key":{}}})", request.action, request.key);
}

// An answer that is not JSON would break the caller's document.
std::optional<std::string> AsJson(const std::string& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError()) return std::nullopt;
  return body;
}

}  // namespace

// The attempt in progress of an action. Further ones follow only after a `not_run`.
struct ActionService::Attempt {
  explicit Attempt(asio::io_context& context) : timer(context) {}

  ActionId action;
  ServiceName service;
  std::uint64_t key = 0;
  std::uint64_t fingerprint = 0;
  std::string body;
  TimePoint deadline;
  int number = 0;
  NodeName holder;
  std::vector<BackendName> tried;
  asio::steady_timer timer;
};

struct ActionService::Waiting {
  explicit Waiting(asio::io_context& context) : timer(context) {}

  std::string action_id;
  Respond respond;
  asio::steady_timer timer;
};

struct ActionService::Forwarded {
  explicit Forwarded(asio::io_context& context) : timer(context) {}

  std::string action_id;
  NodeName issuer;
  Respond respond;
  asio::steady_timer timer;
};

ActionService::ActionService(EventLoop& loop, Context context)
    : loop_(loop),
      context_(std::move(context)),
      ledger_(context_.node, context_.incarnation),
      ledger_timer_(loop.context()) {
  ArmLedgerTimer();
}

ActionService::~ActionService() = default;

void ActionService::ArmLedgerTimer() {
  ledger_timer_.expires_after(kLedgerPeriod);
  ledger_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    ledger_.OnTimer(Now());
    std::erase_if(attempts_, [now = Now()](const auto& entry) {
      return entry.second->deadline + kKeepLateAttempts < now;
    });
    ArmLedgerTimer();
  });
}

void ActionService::HandleIssue(const FrontName& front, const Respond& respond) {
  if (context_.view->Load()->config.FindFront(front) == nullptr) {
    respond(UnknownFront(front));
    return;
  }
  HttpResponse response;
  response.status = 201;
  response.body = R"({"action_id":)";
  AppendJsonString(response.body, FormatActionId(ledger_.Issue(Now())));
  response.body += "}\n";
  respond(std::move(response));
}

void ActionService::Handle(const FrontName& front, const ActionRequest& request, TimePoint received,
                           Respond respond) {
  auto view = context_.view->Load();
  const SearchFront* declared = view->config.FindFront(front);
  if (declared == nullptr && request.action_id.empty()) {
    respond(UnknownFront(front));
    return;
  }
  TimePoint deadline =
      received + request.deadline.value_or(declared != nullptr ? declared->default_deadline
                                                               : kDeadlineWithoutFront);
  ActionId id;
  if (request.action_id.empty()) {
    id = ledger_.Issue(Now());
  } else if (auto parsed = ParseActionId(request.action_id); parsed.ok()) {
    id = *std::move(parsed);
  } else {
    respond(MakeProblemResponse(400, "invalid_action_id", "this id was not issued by damaskroute"));
    return;
  }
  // Without the front, which a node that has just started may not know yet, this id may still have
  // run through another node.
  const Seat* seat = declared != nullptr ? view->roster.Find(id.issuer) : nullptr;
  std::optional<Incarnation> known;
  if (seat != nullptr) known = seat->incarnation;
  switch (DecideForeign(id, context_.node, context_.incarnation, known)) {
    case ForeignDecision::kOwn:
      Serve(front, id, request, deadline, std::move(respond));
      return;
    case ForeignDecision::kForward:
      Forward(front, id, request, deadline, std::move(respond));
      return;
    case ForeignDecision::kMayHaveRun:
      respond(MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, FormatActionId(id)));
      return;
  }
}

void ActionService::Serve(const FrontName& front, const ActionId& id, const ActionRequest& request,
                          TimePoint deadline, Respond respond) {
  std::string text = FormatActionId(id);
  std::uint64_t fingerprint = Hash64(request.action, Hash64(front));
  auto view = context_.view->Load();
  const SearchFront* declared = view->config.FindFront(front);
  bool blocked = declared == nullptr || context_.crash_guard->Check(declared->service, fingerprint,
                                                                    Now()) == CrashMode::kBlocked;
  ActionLedger::Waiter waiter = next_waiter_++;
  ActionLedger::Decision decision =
      blocked ? ledger_.Refuse(id, waiter, Now()) : ledger_.Begin(id, waiter, Now());
  switch (decision.step) {
    case ActionLedger::Step::kFinished:
      respond(MakeActionAnswer(decision.outcome, text));
      return;
    case ActionLedger::Step::kForeign:
      respond(MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, text));
      return;
    case ActionLedger::Step::kInvalid:
      respond(MakeProblemResponse(400, "invalid_action_id", "this id was never issued"));
      return;
    case ActionLedger::Step::kWait:
    case ActionLedger::Step::kRun:
      break;
  }
  auto waiting = std::make_unique<Waiting>(loop_.context());
  waiting->action_id = text;
  waiting->respond = std::move(respond);
  waiting->timer.expires_at(deadline);
  waiting->timer.async_wait([this, waiter](const boost::system::error_code& error) {
    auto it = waiting_.find(waiter);
    if (error || it == waiting_.end()) return;
    auto late = std::move(it->second);
    waiting_.erase(it);
    late->respond(MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, late->action_id));
  });
  waiting_.emplace(waiter, std::move(waiting));
  if (decision.step == ActionLedger::Step::kRun) Run(front, id, request, deadline);
}

void ActionService::Run(const FrontName& front, const ActionId& id, const ActionRequest& request,
                        TimePoint deadline) {
  auto attempt = std::make_unique<Attempt>(loop_.context());
  attempt->action = id;
  attempt->service = context_.view->Load()->config.FindFront(front)->service;
  attempt->key = request.key;
  attempt->fingerprint = Hash64(request.action, Hash64(front));
  attempt->body = RenderBody(request);
  attempt->deadline = deadline;
  SendAttempt(std::move(attempt));
}

void ActionService::SendAttempt(std::unique_ptr<Attempt> attempt) {
  auto view = context_.view->Load();
  auto service = view->FindService(attempt->service);
  auto replicas = service ? service->view.Load() : nullptr;
  auto version = replicas ? ChooseVersion(*replicas) : std::nullopt;
  const VersionMap* map = version ? replicas->Find(*version) : nullptr;
  const Segment* segment = map != nullptr ? map->Find(attempt->key) : nullptr;
  std::vector<Exclusion> excluded;
  for (const BackendName& backend : attempt->tried) excluded.push_back({&backend, nullptr});
  auto choice =
      segment != nullptr && attempt->number < kMaxAttempts
          ? context_.selector->Choose(*replicas, *segment, excluded, Now(), loop_.random())
          : std::nullopt;
  // All attempts so far ended with `not_run`, so the action as a whole did not run.
  if (!choice || Now() >= attempt->deadline) {
    Conclude(attempt->action, {Verdict::kNotRun, std::nullopt});
    return;
  }
  RunAction message;
  message.query_id = context_.ids->Next(context_.loop_index);
  message.action_id = FormatActionId(attempt->action);
  message.service = attempt->service;
  message.backend = choice->replica->backend;
  message.time_left = TimeLeft(attempt->deadline);
  message.fingerprint = attempt->fingerprint;
  message.body = attempt->body;
  ++attempt->number;
  attempt->holder = choice->holder->node;
  attempt->tried.push_back(message.backend);
  std::uint64_t query_id = message.query_id;
  NodeName holder = attempt->holder;
  attempt->timer.expires_at(attempt->deadline);
  attempt->timer.async_wait([this, query_id](const boost::system::error_code& error) {
    auto it = attempts_.find(query_id);
    // The attempt stays: a late result still tells repeats what happened.
    if (!error && it != attempts_.end()) {
      Conclude(it->second->action, {Verdict::kMayHaveRun, std::nullopt});
    }
  });
  attempts_.emplace(query_id, std::move(attempt));
  if (!context_.to_node(holder, std::move(message))) {
    ActionResult unsent;
    unsent.query_id = query_id;
    unsent.verdict = Verdict::kNotRun;
    unsent.outcome = ShardOutcome::kConnectFailed;
    OnActionResult(unsent);
  }
}

void ActionService::OnActionResult(const ActionResult& message) {
  auto it = attempts_.find(message.query_id);
  if (it == attempts_.end()) return;
  std::unique_ptr<Attempt> attempt = std::move(it->second);
  attempts_.erase(it);
  attempt->timer.cancel();
  if (message.verdict == Verdict::kRan) {
    Conclude(attempt->action, {Verdict::kRan, AsJson(message.body)});
    return;
  }
  if (message.verdict == Verdict::kNotRun) {
    SendAttempt(std::move(attempt));
    return;
  }
  if (message.outcome == ShardOutcome::kConnectionLost) {
    context_.crash_guard->OnActionCrash(attempt->service, attempt->fingerprint, Now());
    CrashReport report;
    report.fingerprint = attempt->fingerprint;
    report.is_action = true;
    report.service = attempt->service;
    report.backend = attempt->tried.back();
    report.boot_id = message.boot_id;
    for (const Seat& seat : context_.view->Load()->roster.seats) {
      if (seat.node != context_.node) context_.to_node(seat.node, report);
    }
  }
  Conclude(attempt->action, {Verdict::kMayHaveRun, std::nullopt});
}

void ActionService::Conclude(const ActionId& id, const ActionOutcome& outcome) {
  std::string text = FormatActionId(id);
  for (ActionLedger::Waiter waiter : ledger_.Finish(id, outcome, Now())) {
    auto it = waiting_.find(waiter);
    if (it == waiting_.end()) continue;  // Its deadline passed.
    auto waiting = std::move(it->second);
    waiting_.erase(it);
    waiting->respond(MakeActionAnswer(outcome, text));
  }
}

void ActionService::Forward(const FrontName& front, const ActionId& id,
                            const ActionRequest& request, TimePoint deadline, Respond respond) {
  auto forwarded = std::make_unique<Forwarded>(loop_.context());
  forwarded->action_id = FormatActionId(id);
  forwarded->issuer = id.issuer;
  forwarded->respond = std::move(respond);
  std::uint64_t query_id = context_.ids->Next(context_.loop_index);
  forwarded->timer.expires_at(deadline);
  forwarded->timer.async_wait([this, query_id](const boost::system::error_code& error) {
    auto it = forwarded_.find(query_id);
    if (error || it == forwarded_.end()) return;
    EndForward(query_id,
               MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, it->second->action_id));
  });
  ForwardAction message;
  message.query_id = query_id;
  message.front = front;
  message.action_id = forwarded->action_id;
  message.time_left = TimeLeft(deadline);
  message.body = RenderBody(request);
  std::string text = forwarded->action_id;
  forwarded_.emplace(query_id, std::move(forwarded));
  if (!context_.to_node(id.issuer, std::move(message))) {
    EndForward(query_id, MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, text));
  }
}

void ActionService::EndForward(std::uint64_t id, HttpResponse response) {
  auto it = forwarded_.find(id);
  if (it == forwarded_.end()) return;
  Respond respond = std::move(it->second->respond);
  forwarded_.erase(it);
  respond(std::move(response));
}

void ActionService::OnForwardAction(const Endpoint& from, const ForwardAction& message) {
  auto reply = [this, from, id = message.query_id](HttpResponse response) {
    ActionReply answer;
    answer.query_id = id;
    answer.status = response.status;
    answer.body = std::move(response.body);
    context_.to_endpoint(from, std::move(answer));
  };
  auto id = ParseActionId(message.action_id);
  auto request = ParseActionRequest(message.body);
  // An id of another process, a predecessor for example: only that process knows.
  if (!id.ok() || !request.ok() || id->issuer != context_.node ||
      id->incarnation != context_.incarnation) {
    reply(MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, message.action_id));
    return;
  }
  Serve(message.front, *id, *request, Now() + message.time_left, std::move(reply));
}

void ActionService::OnActionReply(const ActionReply& message) {
  EndForward(message.query_id, MakeForwardedAnswer(message.status, message.body));
}

void ActionService::OnPeerLost(const NodeName& node) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, forwarded] : forwarded_) {
    if (forwarded->issuer == node) lost.push_back(id);
  }
  for (std::uint64_t id : lost) {
    EndForward(
        id, MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, forwarded_.at(id)->action_id));
  }
  for (auto& [id, attempt] : attempts_) {
    if (attempt->holder == node) {
      Conclude(attempt->action, {Verdict::kMayHaveRun, std::nullopt});
    }
  }
}

}  // namespace damaskroute
