#include "damaskroute/node/action_service.h"

#include <algorithm>
#include <utility>

#include "damaskroute/actions/action_route.h"
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

// Maximum number of attempts per action. Another one follows only after a `not_run` refusal.
constexpr int kMaxAttempts = 3;
constexpr std::chrono::seconds kLedgerPeriod{5};

// A result that arrives within this time after the deadline is still recorded.
constexpr std::chrono::seconds kLateResultRetention{60};

// Default deadline of a repeated request to a front that this node does not know.
constexpr std::chrono::seconds kUnknownFrontDeadline{5};

TimePoint Now() { return SteadyClock().Now(); }

microseconds TimeLeft(TimePoint deadline) {
  return std::max(std::chrono::duration_cast<microseconds>(deadline - Now()), microseconds(0));
}

HttpResponse UnknownFront(const FrontName& front) {
  return MakeProblemResponse(404, "unknown_front",
                             fmt::format("no search front is named \"{}\"", front.substr(0, 64)));
}

// Renders the request body for peers and backend servers.
std::string RenderBody(const ActionRequest& request) {
  return fmt::format(R"({{"action":{},"key":{}}})", request.action, request.key);
}

// Returns the body if it is valid JSON; any other body would break the caller's document.
std::optional<std::string> ValidJson(const std::string& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError()) return std::nullopt;
  return body;
}

}  // namespace

// The current attempt of an action. Another one follows only after a `not_run`.
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

struct ActionService::WaitingCaller {
  explicit WaitingCaller(asio::io_context& context) : timer(context) {}

  std::string action_id;
  Respond respond;
  asio::steady_timer timer;
};

struct ActionService::ForwardedAction {
  explicit ForwardedAction(asio::io_context& context) : timer(context) {}

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
      return entry.second->deadline + kLateResultRetention < now;
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
                                                               : kUnknownFrontDeadline);
  ActionId id;
  if (request.action_id.empty()) {
    id = ledger_.Issue(Now());
  } else if (auto parsed = ParseActionId(request.action_id); parsed.ok()) {
    id = *std::move(parsed);
  } else {
    respond(MakeProblemResponse(400, "invalid_action_id", "this id was not issued by damaskroute"));
    return;
  }
  // A node that has just started may not know the front yet, while the action may have run through
  // another node, so an unknown front makes the issuer unknown, too.
  const RosterEntry* entry = declared != nullptr ? view->roster.Find(id.issuer) : nullptr;
  std::optional<Incarnation> known;
  if (entry != nullptr) known = entry->incarnation;
  switch (RouteAction(id, context_.node, context_.incarnation, known)) {
    case ActionRoute::kLocal:
      Serve(front, id, request, deadline, std::move(respond));
      return;
    case ActionRoute::kForward:
      Forward(front, id, request, deadline, std::move(respond));
      return;
    case ActionRoute::kMayHaveRun:
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
  auto waiting = std::make_unique<WaitingCaller>(loop_.context());
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
    CompleteAction(attempt->action, {Verdict::kNotRun, std::nullopt});
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
    // The attempt is kept, so that a late result still answers repeated requests.
    if (!error && it != attempts_.end()) {
      CompleteAction(it->second->action, {Verdict::kMayHaveRun, std::nullopt});
    }
  });
  attempts_.emplace(query_id, std::move(attempt));
  if (!context_.send_to_node(holder, std::move(message))) {
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
    CompleteAction(attempt->action, {Verdict::kRan, ValidJson(message.body)});
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
    for (const RosterEntry& entry : context_.view->Load()->roster.node_entries) {
      if (entry.node != context_.node) context_.send_to_node(entry.node, report);
    }
  }
  CompleteAction(attempt->action, {Verdict::kMayHaveRun, std::nullopt});
}

void ActionService::CompleteAction(const ActionId& id, const ActionOutcome& outcome) {
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
  auto forwarded = std::make_unique<ForwardedAction>(loop_.context());
  forwarded->action_id = FormatActionId(id);
  forwarded->issuer = id.issuer;
  forwarded->respond = std::move(respond);
  std::uint64_t query_id = context_.ids->Next(context_.loop_index);
  forwarded->timer.expires_at(deadline);
  forwarded->timer.async_wait([this, query_id](const boost::system::error_code& error) {
    auto it = forwarded_.find(query_id);
    if (error || it == forwarded_.end()) return;
    CompleteForward(query_id,
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
  if (!context_.send_to_node(id.issuer, std::move(message))) {
    CompleteForward(query_id, MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, text));
  }
}

void ActionService::CompleteForward(std::uint64_t id, HttpResponse response) {
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
    context_.send_to_endpoint(from, std::move(answer));
  };
  auto id = ParseActionId(message.action_id);
  auto request = ParseActionRequest(message.body);
  // The id was issued by another process, such as a predecessor, and only that process knows the
  // outcome.
  if (!id.ok() || !request.ok() || id->issuer != context_.node ||
      id->incarnation != context_.incarnation) {
    reply(MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, message.action_id));
    return;
  }
  Serve(message.front, *id, *request, Now() + message.time_left, std::move(reply));
}

void ActionService::OnActionReply(const ActionReply& message) {
  CompleteForward(message.query_id, MakeForwardedAnswer(message.status, message.body));
}

void ActionService::OnPeerLost(const NodeName& node) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, forwarded] : forwarded_) {
    if (forwarded->issuer == node) lost.push_back(id);
  }
  for (std::uint64_t id : lost) {
    CompleteForward(
        id, MakeActionAnswer({Verdict::kMayHaveRun, std::nullopt}, forwarded_.at(id)->action_id));
  }
  for (auto& [id, attempt] : attempts_) {
    if (attempt->holder == node) {
      CompleteAction(attempt->action, {Verdict::kMayHaveRun, std::nullopt});
    }
  }
}

}  // namespace damaskroute
