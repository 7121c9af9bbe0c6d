#include "damaskroute/node/forward_service.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_call.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

std::int64_t Microseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

BackendClientOptions ClientOptions(const ForwardServiceOptions& options,
                                   const ForwardProtocol& protocol) {
  BackendClientOptions client;
  client.request_id_header = protocol.request_id;
  client.leaving_header = protocol.leaving;
  client.keep_headers = true;
  client.held_bodies = std::make_shared<ByteBudget>(options.max_held_bytes);
  client.skip_foreign_answers = true;
  client.connect_timeout = options.connect_timeout;
  client.silence_timeout = options.silence_timeout;
  return client;
}

// Cancelled calls that the log line of a request names.
constexpr std::size_t kLoggedCalls = 8;

// Names of services that a log line holds at most.
constexpr std::size_t kLoggedServices = 8;

std::string LeftOut(const ForwardRun& run) {
  std::string text;
  for (std::size_t i = 0; i < std::min(run.left_out().size(), kLoggedServices); ++i) {
    text += run.left_out()[i] + "; ";
  }
  return text;
}

// When callers that a full limit turned away may come back, as a part of their patience. They
// honour up to a third of it.
constexpr double kLeastReturnPart = 0.15;
constexpr double kMostReturnPart = 0.3;
constexpr std::chrono::milliseconds kLeastReturn{50};
constexpr std::chrono::milliseconds kMostReturn{1000};

const char* OutcomeName(const ForwardAnswer& answer) {
  switch (answer.kind) {
    case AnswerKind::kPassedOn:
      return "passed_on";
    case AnswerKind::kMerged:
      return answer.missing == 0 ? "merged" : "partial";
    case AnswerKind::kRefused:
      return "refused";
    case AnswerKind::kTimedOut:
      return "timed_out";
    case AnswerKind::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

/// One caller's request with its connections.
struct ForwardService::Exchange {
  Exchange(asio::io_context& loop, ForwardSpec spec, ForwardPolicies policies)
      : run(std::move(spec), policies), timer(loop) {}

  CallerRequest request;
  HttpResponder respond;
  std::shared_ptr<CallerPresence> presence;
  std::shared_ptr<const RouteTable> routes;  // Keeps `route` alive.
  TimePoint routes_since;                    // When these routes came into force.
  const Route* route = nullptr;
  ForwardRun run;
  QueryPlace place;
  std::unordered_map<std::uint32_t, OpenCall> calls;
  asio::steady_timer timer;
  std::vector<std::pair<BackendName, Duration>> cancelled;  // Their ages, for the log.
  std::string failures;  // Short text on the calls that failed, for the log.
};

ForwardService::ForwardService(asio::io_context& loop, ForwardServiceOptions options,
                               ForwardProtocol protocol)
    : loop_(loop),
      options_(std::move(options)),
      protocol_(std::move(protocol)),
      random_(options_.seed),
      beliefs_(loop, options_.backends, ClientOptions(options_, protocol_), options_.seed) {}

ForwardService::~ForwardService() = default;

void ForwardService::Handle(HttpRequest http_request, HttpResponder respond) {
  auto presence = http_request.presence;
  CallerRequest request = ReadCallerRequest(std::move(http_request), protocol_);
  const auto& routes = beliefs_.routes();
  if (!routes) {
    return RefuseWith(request, 503, "no routes are known yet", respond, options_.refusal_retry);
  }
  const Route* route = routes->Find(request.host, request.target);
  if (route == nullptr) return RefuseWith(request, 404, "no route matches", respond, {});
  TimePoint deadline =
      request.received + std::min(request.patience.value_or(route->timeout), route->timeout);
  auto exchange = std::make_shared<Exchange>(
      loop_, MakeSpec(*route, {request.received, deadline, OutsideTime(*route, request)}),
      ForwardPolicies{beliefs_.backends(), budgets_, budget_options_,
                      latencies_.try_emplace(route->name, route->objective).first->second});
  exchange->request = std::move(request);
  exchange->respond = std::move(respond);
  exchange->presence = std::move(presence);
  exchange->routes = routes;
  exchange->routes_since = beliefs_.routes_since();
  exchange->route = route;
  if (!AdmitQuery(*exchange)) {
    return RefuseWith(exchange->request, 503, "too many queries", exchange->respond,
                      ReturnTime(deadline - exchange->request.received));
  }
  active_.insert(exchange);
  if (exchange->presence) {
    exchange->presence->on_gone = [this, weak = std::weak_ptr<Exchange>(exchange)] {
      if (auto left = weak.lock()) OnCallerGone(left);
    };
  }
  Carry(exchange, exchange->run.Start(Now()));
}

Duration ForwardService::OutsideTime(const Route& route, const CallerRequest& request) const {
  return TimeOnTheWay(request.way, route.objective) + timer_delay_.allowance();
}

ForwardSpec ForwardService::MakeSpec(const Route& route, const ForwardTimes& times) {
  if (!route.shards.empty()) return MakeQuerySpec(route, beliefs_.routes()->Plan(route), times);
  ServiceName service;
  if (!route.targets.empty()) {
    service = route.targets[splits_[route.name].Next(route.targets)].service;
  }
  return MakePlainSpec(route, service, times);
}

// Callers of a crowd are told different times, so that they do not come back as a crowd.
std::chrono::milliseconds ForwardService::ReturnTime(Duration patience) {
  double part = kLeastReturnPart + (kMostReturnPart - kLeastReturnPart) * random_.Unit();
  auto time = std::chrono::duration_cast<std::chrono::milliseconds>(patience * part);
  return std::clamp(time, kLeastReturn, kMostReturn);
}

// Queries over the same shards share a limit; the most urgent route among them comes first.
bool ForwardService::AdmitQuery(Exchange& exchange) {
  const Route& route = *exchange.route;
  if (route.shards.empty()) return true;
  const QueryPlan& plan = exchange.routes->Plan(route);
  return exchange.place.Take(limits_[plan.shard_set], plan.urgent, exchange.run, Now());
}

void ForwardService::Refuse(HttpRequest request, const char* reason, const HttpResponder& respond) {
  RefuseWith(ReadCallerRequest(std::move(request), protocol_), 503, reason, respond,
             options_.refusal_retry);
}

void ForwardService::RefuseWith(const CallerRequest& request, int status, const char* reason,
                                const HttpResponder& respond,
                                std::chrono::milliseconds retry_after) {
  ++metrics_.answers[status == 404 ? "not_found" : "turned_away"];
  LogLine(LogLevel::kInfo, "request refused")
      .Field("request", request.id)
      .Field("host", request.host)
      .Field("target", request.target)
      .Field("status", status)
      .Field("reason", reason)
      .Field("routes_version", beliefs_.routes_version());
  respond(MakeForwardRefusal(request, status, reason, retry_after, protocol_));
}

void ForwardService::Carry(const std::shared_ptr<Exchange>& exchange,
                           std::vector<ForwardAction> actions) {
  for (ForwardAction& action : actions) {
    if (auto* send = std::get_if<SendCall>(&action)) {
      StartCall(exchange, *send);
    } else if (auto* cancel = std::get_if<CancelCall>(&action)) {
      auto found = exchange->calls.find(cancel->call);
      if (found == exchange->calls.end()) continue;
      OpenCall call = std::move(found->second);
      exchange->calls.erase(found);
      call.client->Cancel(call.id);
      if (exchange->cancelled.size() < kLoggedCalls) {
        exchange->cancelled.emplace_back(call.backend, Now() - call.sent);
      }
    } else if (auto* wake = std::get_if<WakeAt>(&action)) {
      Wake(exchange, wake->at);
    } else if (auto* answer = std::get_if<Answer>(&action)) {
      Respond(exchange, std::move(answer->answer));
    }
  }
}

void ForwardService::StartCall(const std::shared_ptr<Exchange>& exchange, const SendCall& send) {
  TimePoint now = Now();
  OpenCall& call = exchange->calls[send.call];
  call.client = beliefs_.pool().For(send.backend);
  call.backend = send.backend->entry.id;
  call.sent = now;
  // The client is shared, so that it outlives its place in the pool while the call runs.
  call.id = call.client->Start(
      MakeForwardCall(exchange->request, send.backend->entry.id, exchange->run.spec().deadline, now,
                      protocol_),
      [this, exchange, number = send.call, backend = send.backend](ExchangeResult result) {
        auto found = exchange->calls.find(number);
        if (found == exchange->calls.end()) return;
        TimePoint ended = Now();
        Duration latency = ended - found->second.sent;
        // Destroyed after this function: its client may have no other owner.
        asio::post(loop_, [client = std::move(found->second.client)] {});
        exchange->calls.erase(found);
        CallResult judged = JudgeForwardCall(exchange->request, std::move(result),
                                             exchange->run.spec().query, protocol_);
        if (judged.leaving) beliefs_.OnLeaving(backend);
        if (judged.pause) beliefs_.OnAskedToWait(backend, *judged.pause);
        if (judged.end == CallEnd::kAnswered) {
          metrics_.call_latency.Record(latency);
        } else {
          ++metrics_.failed_calls[judged.reason];
          exchange->failures += backend->entry.id + ": " + judged.reason + "; ";
          if (judged.end == CallEnd::kUnreachable) OnUnreachable(backend);
        }
        Carry(exchange, exchange->run.OnResult(number, std::move(judged), ended));
        exchange->place.OnProgress(exchange->run);
      });
}

void ForwardService::OnUnreachable(const std::shared_ptr<Backend>& backend) {
  beliefs_.prober().OnUnreachable(backend);
  if (on_unreachable_) on_unreachable_();
}

void ForwardService::ProbeQuietZones() {
  beliefs_.prober().ProbeQuietZones([this] {
    if (on_unreachable_) on_unreachable_();
  });
}

void ForwardService::Wake(const std::shared_ptr<Exchange>& exchange, TimePoint at) {
  exchange->timer.expires_at(at);
  exchange->timer.async_wait([this, exchange, at](const boost::system::error_code& error) {
    if (error || exchange->run.finished()) return;
    TimePoint now = Now();
    timer_delay_.OnFired(at, now);
    Carry(exchange, exchange->run.OnTimer(now));
  });
}

// The servers whose answers were not waited for, with the age of the call: the cancellations come
// before the answer.
std::string ForwardService::Unanswered(const Exchange& exchange) {
  std::string text;
  for (const auto& [backend, age] : exchange.cancelled) {
    text += fmt::format("{}: {} us; ", backend, Microseconds(age));
  }
  return text;
}

void ForwardService::Respond(const std::shared_ptr<Exchange>& exchange, ForwardAnswer answer) {
  exchange->timer.cancel();
  exchange->place.Release(exchange->run, Now());
  const char* outcome = OutcomeName(answer);
  std::string unanswered = Unanswered(*exchange);
  Duration latency = Now() - exchange->request.received;
  metrics_.request_latency.Record(latency);
  Count(*exchange, outcome);
  const ForwardCounts& counts = exchange->run.counts();
  LogLine(LogLevel::kInfo, "request answered")
      .Field("request", exchange->request.id)
      .Field("route", exchange->route->name)
      .Field("outcome", outcome)
      .Field("reason", answer.reason)
      .Field("verdict", VerdictName(answer.verdict()))
      .Field("latency_us", Microseconds(latency))
      .Field("parts", answer.parts.size())
      .Field("missing", answer.missing)
      .Field("calls", counts.calls)
      .Field("copies", counts.copies)
      .Field("repeats", counts.repeats)
      .Field("over_budget", counts.over_budget)
      .Field("without_room", counts.without_room)
      .Field("failures", exchange->failures)
      .Field("unanswered", unanswered)
      .Field("left_out", LeftOut(exchange->run))
      .Field("routes_version", exchange->routes->document().version)
      .Field("routes_age_us", Microseconds(Now() - exchange->routes_since));
  if (exchange->presence) exchange->presence->on_gone = nullptr;
  exchange->respond(MakeForwardResponse(exchange->request, std::move(answer),
                                        exchange->route->top_records, protocol_));
  active_.erase(exchange);
}

void ForwardService::OnCallerGone(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->run.finished()) return;
  exchange->timer.cancel();
  Count(*exchange, "abandoned");
  LogLine(LogLevel::kInfo, "caller left")
      .Field("request", exchange->request.id)
      .Field("route", exchange->route->name)
      .Field("waited_us", Microseconds(Now() - exchange->request.received));
  Carry(exchange, exchange->run.Abandon(Now()));
  exchange->place.Release(exchange->run, Now());
  active_.erase(exchange);
  // The connection is closed by the server once it tries to send this.
  exchange->respond(MakeForwardRefusal(exchange->request, 504, "the caller left", {}, protocol_));
}

void ForwardService::FinishAll() {
  auto active = active_;
  for (const auto& exchange : active) Carry(exchange, exchange->run.GiveUp("the node ends", Now()));
}

bool ForwardService::ReachesShards() const {
  if (!beliefs_.routes()) return true;
  bool queries = false;
  for (const Route& route : beliefs_.routes()->document().routes) {
    if (route.shards.empty()) continue;
    queries = true;
    auto least = static_cast<std::ptrdiff_t>(beliefs_.routes()->Plan(route).least_parts);
    if (ReachedShards(route) >= least) return true;
  }
  return !queries;
}

std::ptrdiff_t ForwardService::ReachedShards(const Route& route) const {
  TimePoint now = Now();
  return std::count_if(route.shards.begin(), route.shards.end(), [&](const ServiceName& shard) {
    return beliefs_.backends().IsReached(shard, now);
  });
}

void ForwardService::Count(const Exchange& exchange, const std::string& outcome) {
  const ForwardCounts& counts = exchange.run.counts();
  ++metrics_.answers[outcome];
  metrics_.counts.calls += counts.calls;
  metrics_.counts.copies += counts.copies;
  metrics_.counts.repeats += counts.repeats;
  metrics_.counts.over_budget += counts.over_budget;
  metrics_.counts.without_room += counts.without_room;
}

void ForwardService::SetShares(int nodes, const ExtraBudgetOptions& budget) {
  budget_options_ = budget;
  beliefs_.SetNodes(nodes);
}

}  // namespace damaskroute
