#include "damaskroute/node/forward_service.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

#include "damaskroute/core/hash.h"
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
  client.keep_headers = true;
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
  const Route* route = nullptr;
  ForwardRun run;
  OverloadLimit* limit = nullptr;  // Of the set of shards, while the query holds a place in it.
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
      backends_(options_.backends, options_.seed),
      pool_(loop, ClientOptions(options_, protocol_)),
      prober_(loop, pool_),
      expiry_timer_(loop) {}

ForwardService::~ForwardService() = default;

void ForwardService::Handle(HttpRequest http_request, HttpResponder respond) {
  auto presence = http_request.presence;
  CallerRequest request = ReadCallerRequest(std::move(http_request), protocol_);
  const Route* route = routes_ ? routes_->Find(request.host, request.target) : nullptr;
  if (!routes_) {
    return RefuseWith(request, 503, "no routes are known yet", respond, options_.refusal_retry);
  }
  if (route == nullptr) return RefuseWith(request, 404, "no route matches", respond, {});
  ServiceName service;
  if (!route->targets.empty()) {
    service = route->targets[splits_[route->name].Next(route->targets)].service;
  }
  TimePoint deadline =
      request.received + std::min(request.patience.value_or(route->timeout), route->timeout);
  auto exchange = std::make_shared<Exchange>(
      loop_, MakeForwardSpec(*route, service, request.received, deadline),
      ForwardPolicies{backends_, budgets_, budget_options_,
                      latencies_.try_emplace(route->name, route->objective).first->second});
  exchange->request = std::move(request);
  exchange->respond = std::move(respond);
  exchange->presence = std::move(presence);
  exchange->routes = routes_;
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
  std::uint64_t key = 0;
  for (const ServiceName& shard : route.shards) key = Hash64(shard, key);
  bool urgent =
      std::none_of(routes_->document().routes.begin(), routes_->document().routes.end(),
                   [&](const Route& other) {
                     return other.priority < route.priority && other.shards == route.shards;
                   });
  OverloadLimit& limit = limits_[key];
  if (!limit.TryStart(urgent)) return false;
  exchange.limit = &limit;
  if (limit.IsPressed(Now())) exchange.run.ForbidCopies();
  return true;
}

void ForwardService::ReleaseQuery(Exchange& exchange) {
  if (exchange.limit == nullptr) return;
  exchange.limit->OnEnd(exchange.run.load_sign(), Now());
  exchange.limit = nullptr;
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
      .Field("routes_version", routes_version());
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
  call.client = pool_.For(send.backend);
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
        if (judged.end == CallEnd::kAnswered) {
          metrics_.call_latency.Record(latency);
        } else {
          ++metrics_.failed_calls[judged.reason];
          exchange->failures += backend->entry.id + ": " + judged.reason + "; ";
          if (judged.end == CallEnd::kUnreachable) prober_.OnUnreachable(backend);
        }
        Carry(exchange, exchange->run.OnResult(number, std::move(judged), ended));
      });
}

void ForwardService::Wake(const std::shared_ptr<Exchange>& exchange, TimePoint at) {
  exchange->timer.expires_at(at);
  exchange->timer.async_wait([this, exchange](const boost::system::error_code& error) {
    if (error || exchange->run.finished()) return;
    Carry(exchange, exchange->run.OnTimer(Now()));
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
  ReleaseQuery(*exchange);
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
      .Field("routes_age_us", Microseconds(Now() - routes_since_));
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
  ReleaseQuery(*exchange);
  active_.erase(exchange);
  // The connection is closed by the server once it tries to send this.
  exchange->respond(MakeForwardRefusal(exchange->request, 504, "the caller left", {}, protocol_));
}

void ForwardService::FinishAll() {
  auto active = active_;
  for (const auto& exchange : active) Carry(exchange, exchange->run.GiveUp("the node ends", Now()));
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

bool ForwardService::InstallRoutes(RoutingDocument document) {
  if (routes_ && document.version <= routes_version()) return false;
  Revision before = routes_version();
  routes_ = std::make_shared<const RouteTable>(std::move(document));
  routes_since_ = Now();
  backends_.SetPolicies(routes_, nodes_);
  LogLine(LogLevel::kInfo, "routes installed")
      .Field("version", routes_version())
      .Field("before", before)
      .Field("routes", routes_->document().routes.size())
      .Field("services", routes_->document().services.size());
  return true;
}

void ForwardService::OnBackend(const BackendEntry& entry) {
  DirectoryChange change = directory_.OnEntry(entry);
  if (change == DirectoryChange::kNone) return;
  bool fresh = change == DirectoryChange::kReplaced;
  if (fresh) Drop(entry.id, "replaced by a new incarnation");
  backends_.Put(entry, fresh, Now());
  LogLine(LogLevel::kInfo, "backend server known")
      .Field("backend", entry.id)
      .Field("service", entry.service)
      .Field("endpoint", FormatEndpoint(entry.endpoint))
      .Field("zone", entry.zone)
      .Field("draining", entry.draining ? "yes" : "no")
      .Field("warmup_left_ms", entry.warmup_left.count())
      .Field("sequence", entry.sequence)
      .Field("new", change == DirectoryChange::kUpdated ? "no" : "yes");
}

void ForwardService::OnBackendRemoved(const BackendName& id, bool after_outage) {
  DirectoryChange change = directory_.OnRemoved(id, after_outage, Now());
  if (change == DirectoryChange::kRemoved) Drop(id, "entry removed");
  if (change == DirectoryChange::kHeld) ScheduleExpiry();
}

void ForwardService::OnAllBackends(const std::set<BackendName>& present, bool after_outage) {
  for (const BackendName& id : directory_.OnAllRead(present, after_outage, Now())) {
    Drop(id, "entry missing");
  }
  ScheduleExpiry();
}

void ForwardService::Drop(const BackendName& id, const char* reason) {
  LogLine(LogLevel::kInfo, "backend server gone").Field("backend", id).Field("reason", reason);
  pool_.Forget(backends_.Find(id).get());
  backends_.Remove(id);
}

void ForwardService::ScheduleExpiry() {
  TimePoint next = directory_.next_expiry();
  if (next == TimePoint::max()) return;
  expiry_timer_.expires_at(next);
  expiry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    for (const BackendName& id : directory_.Expire(Now())) Drop(id, "entry did not come back");
    ScheduleExpiry();
  });
}

void ForwardService::SetClosedZones(std::set<ZoneName> zones) {
  if (zones == backends_.closed_zones()) return;
  std::string names;
  for (const ZoneName& zone : zones) names += zone + " ";
  LogLine(LogLevel::kInfo, "zones closed").Field("zones", names);
  backends_.SetClosedZones(std::move(zones));
}

void ForwardService::SetShares(int nodes, const ExtraBudgetOptions& budget) {
  budget_options_ = budget;
  if (nodes == nodes_) return;
  LogLine(LogLevel::kInfo, "number of nodes changed").Field("nodes", nodes).Field("before", nodes_);
  nodes_ = nodes;
  backends_.SetPolicies(routes_, nodes_);
}

}  // namespace damaskroute
