#include "damaskroute/node/forward_service.h"

#include <algorithm>
#include <random>
#include <type_traits>
#include <utility>
#include <vector>

#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_call.h"
#include "damaskroute/node/peer_request.h"
#include "damaskroute/node/request_keys_of.h"
#include "fmt/format.h"
#include "forward_exchange.h"

namespace damaskroute {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

std::int64_t Microseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

BackendClientOptions ClientOptions(const ForwardServiceOptions& options,
                                   const ForwardProtocol& protocol,
                                   std::shared_ptr<ByteBudget> body_budget) {
  BackendClientOptions client;
  client.request_id_header = protocol.request_id;
  client.leaving_header = protocol.leaving;
  client.rate_limit_header = protocol.rate_limit;
  client.keep_headers = true;
  client.body_budget = std::move(body_budget);
  client.skip_mismatched_answers = true;
  client.connect_timeout = options.connect_timeout;
  client.unresponsive_timeout = options.unresponsive_timeout;
  client.connection_budget = std::make_shared<ConnectionBudget>(options.max_server_connections);
  return client;
}

BackendClientOptions PeerClientOptions(const ForwardServiceOptions& options,
                                       std::shared_ptr<ByteBudget> body_budget) {
  BackendClientOptions client;
  client.keep_headers = true;
  client.body_budget = std::move(body_budget);
  client.connect_timeout = options.connect_timeout;
  client.unresponsive_timeout = options.unresponsive_timeout;
  client.connection_budget = std::make_shared<ConnectionBudget>(options.max_peer_connections);
  return client;
}

// Maximum number of cancelled calls in the log message of a request.
constexpr std::size_t kMaxLoggedCalls = 8;

// Maximum number of service names in a log message.
constexpr std::size_t kMaxLoggedServices = 8;

// Longest part of a text of a caller in a log message.
constexpr std::size_t kMaxLoggedText = 256;

std::string_view LoggedPart(std::string_view text) { return text.substr(0, kMaxLoggedText); }

std::string LeftOutServices(const ForwardRun& run) {
  std::string text;
  for (std::size_t i = 0; i < std::min(run.left_out().size(), kMaxLoggedServices); ++i) {
    text += run.left_out()[i] + "; ";
  }
  return text;
}

const char* RefusalOutcome(int status) {
  if (status == 401) return "unauthorized";
  return status == 404 ? "not_found" : "turned_away";
}

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

ForwardService::ForwardService(asio::io_context& loop, ForwardServiceOptions options,
                               ForwardProtocol protocol)
    : loop_(loop),
      options_(std::move(options)),
      protocol_(std::move(protocol)),
      random_(options_.seed),
      body_budget_(std::make_shared<ByteBudget>(options_.max_held_bytes)),
      rollouts_(options_.backends.local_node, std::random_device()()),
      forwarding_state_(loop, options_.backends, ClientOptions(options_, protocol_, body_budget_),
                        options_.seed),
      processor_limit_(options_.cpu_quota),
      tenant_admission_(options_.seed),
      retry_after_(options_.seed),
      peer_selector_(options_.seed),
      peer_clients_(loop, PeerClientOptions(options_, body_budget_)),
      crash_guard_(MakeCrashGuardSettings()),
      request_guard_(crash_guard_),
      crash_exchange_(loop, crash_guard_, peer_clients_, options_.seed),
      given_up_timer_(loop) {}

ForwardService::~ForwardService() {
  // A call holds its request, which holds the clients of its calls: if the loop has ended, requests
  // in progress would never be released.
  for (const auto& exchange : std::exchange(active_, {})) {
    exchange->calls.clear();
    exchange->peer_client.reset();
  }
}

void ForwardService::Handle(HttpRequest http_request, HttpResponder respond) {
  auto presence = http_request.presence;
  auto credentials = TakeCredentialsIfNeeded(http_request);
  CallerRequest request = ReadCallerRequest(std::move(http_request), protocol_);
  const auto& routes = forwarding_state_.routes();
  if (!routes) {
    return RefuseWith(request, 503, "no routes are known yet", respond, options_.refusal_retry);
  }
  const Route* route = routes->Find(request.host, request.target);
  if (route == nullptr) return RefuseWith(request, 404, "no route matches", respond, {});
  Origin origin{.peer = false, .max_attempts = route->max_attempts};
  if (!Authorize(request, std::move(credentials), *route, origin, respond)) return;
  Serve(std::move(request), std::move(presence), *route, origin, std::move(respond));
}

void ForwardService::Serve(CallerRequest request, std::shared_ptr<CallerPresence> presence,
                           const Route& route, const Origin& origin, HttpResponder respond) {
  TimePoint deadline =
      request.received + std::min(request.caller_timeout.value_or(route.timeout), route.timeout);
  ForwardSpec spec = MakeSpec(route, {request.received, deadline, ReservedTime(route, request)});
  spec.max_attempts = std::min(spec.max_attempts, origin.max_attempts);
  auto exchange = std::make_shared<Exchange>(
      loop_, std::move(spec),
      ForwardContext{forwarding_state_.backends(), budgets_, budget_options_,
                     latencies_.try_emplace(route.name, route.objective).first->second});
  exchange->keys = KeysOf(request);
  exchange->request = std::move(request);
  exchange->respond = std::move(respond);
  exchange->presence = std::move(presence);
  exchange->routes = forwarding_state_.routes();
  exchange->routes_since = forwarding_state_.routes_since();
  exchange->route = &route;
  exchange->tenant = origin.tenant;
  exchange->outdated = origin.outdated;
  exchange->charged = origin.charged;
  exchange->from_peer = origin.peer;
  if (RefuseIfBlocked(*exchange)) return;
  if (!AwaitQuota(exchange, origin.canary)) Begin(exchange, origin.canary);
}

void ForwardService::Begin(const std::shared_ptr<Exchange>& exchange, bool as_canary) {
  bool lacks_servers = LacksServers(exchange->run.spec());
  if ((lacks_servers || exchange->outdated) && exchange->from_peer) {
    ReturnQuota(*exchange);
    return RefuseToPeer(exchange->request,
                        lacks_servers ? "too few backend servers are reached" : kOutdatedReason,
                        exchange->route->name, exchange->respond);
  }
  bool at_peer = (lacks_servers || exchange->outdated) && PassToPeer(exchange, {});
  if (exchange->outdated && !at_peer) {
    return RefuseWith(exchange->request, 503, kOutdatedReason, exchange->respond,
                      RetryAfter(*exchange, Now()));
  }
  if (!at_peer && !BeginGuarded(*exchange, as_canary)) return ReturnQuota(*exchange);
  if (!at_peer && !Admit(*exchange)) {
    ReturnQuota(*exchange);
    ReportLosses(*exchange);
    return RefuseOverload(*exchange);
  }
  active_.insert(exchange);
  if (exchange->presence) {
    exchange->presence->on_disconnect = [this, weak = std::weak_ptr<Exchange>(exchange)] {
      if (auto locked = weak.lock()) OnCallerGone(locked);
    };
  }
  if (!at_peer) Execute(exchange, exchange->run.Start(Now()));
}

Duration ForwardService::ReservedTime(const Route& route, const CallerRequest& request) const {
  Duration timer_delay = timer_delay_.allowance();
  Duration merge_time = processor_limit_.ExtraMergeTime(route.shards.size(), timer_delay);
  return CallerNetworkDelay(request.connection, route.objective) + timer_delay +
         std::min<Duration>(merge_time, route.objective / 4);
}

ForwardSpec ForwardService::MakeSpec(const Route& route, const ForwardTimes& times) {
  if (!route.shards.empty()) {
    return MakeQuerySpec(route, forwarding_state_.routes()->Plan(route), times);
  }
  ServiceName service;
  if (!route.targets.empty()) {
    service = route.targets[splits_[route.name].Next(route.targets)].service;
  }
  return MakePlainSpec(route, service, times);
}

void ForwardService::Refuse(HttpRequest request, const char* reason, const HttpResponder& respond) {
  RefuseWith(ReadCallerRequest(std::move(request), protocol_), 503, reason, respond,
             options_.refusal_retry);
}

void ForwardService::RefuseWith(const CallerRequest& request, int status, const char* reason,
                                const HttpResponder& respond,
                                std::chrono::milliseconds retry_after) {
  ++metrics_.answers[RefusalOutcome(status)];
  LogLine(LogLevel::kInfo, "request refused")
      .Field("request", request.id)
      .Field("host", LoggedPart(request.host))
      .Field("target", LoggedPart(request.target))
      .Field("status", status)
      .Field("reason", reason)
      .Field("routes_version", forwarding_state_.routes_version());
  respond(MakeForwardRefusal(request, status, reason, retry_after, protocol_));
}

void ForwardService::Execute(const std::shared_ptr<Exchange>& exchange,
                             std::vector<ForwardAction> actions) {
  for (ForwardAction& action : actions) {
    if (auto* send = std::get_if<SendCall>(&action)) {
      StartCall(exchange, *send);
    } else if (auto* cancel = std::get_if<CancelCall>(&action)) {
      auto found = exchange->calls.find(cancel->call);
      if (found == exchange->calls.end()) continue;
      CallInProgress call = std::move(found->second);
      exchange->calls.erase(found);
      call.client->Cancel(call.id);
      OnCallGivenUp(*exchange, call.backend, call.sent);
      TrackRollout(*exchange, *call.backend, /*failed=*/false, Now() - call.sent, Now());
      if (exchange->cancelled.size() < kMaxLoggedCalls) {
        exchange->cancelled.emplace_back(call.backend->entry.id, Now() - call.sent);
      }
    } else if (auto* wake = std::get_if<WakeAt>(&action)) {
      ScheduleTimer(exchange, wake->at);
    } else if (auto* answer = std::get_if<Answer>(&action)) {
      Respond(exchange, std::move(answer->answer));
    }
  }
}

void ForwardService::StartCall(const std::shared_ptr<Exchange>& exchange, const SendCall& send) {
  TimePoint now = Now();
  CallInProgress& call = exchange->calls[send.call];
  call.client = forwarding_state_.pool().ClientFor(send.backend);
  call.backend = send.backend;
  call.sent = now;
  CountRolloutCall(*send.backend);
  // Shared ownership keeps the client alive during the call if it is removed from the pool.
  ExchangeRequest forward_call = MakeForwardCall(exchange->request, send.backend->entry.id,
                                                 exchange->run.spec().deadline, now, protocol_);
  forward_call.body = {exchange, &exchange->request.body};  // Shared by all calls of a query.
  call.id = call.client->Start(
      std::move(forward_call),
      [this, exchange, number = send.call, backend = send.backend](ExchangeResult result) {
        auto found = exchange->calls.find(number);
        if (found == exchange->calls.end()) return;
        TimePoint ended = Now();
        TimePoint sent = found->second.sent;
        Duration latency = ended - sent;
        // Defers the client's destruction until this callback, which the client runs, has returned.
        asio::post(loop_, [client = std::move(found->second.client)] {});
        exchange->calls.erase(found);
        CallResult call_result = ClassifyForwardCall(exchange->request, std::move(result),
                                                     exchange->run.spec().query, protocol_);
        TrackCrashes(*exchange, *backend, call_result, sent, ended);
        if (MayHaveRun(call_result.end)) {
          TrackRollout(*exchange, *backend, call_result.end != CallEnd::kAnswered, latency, ended);
        }
        if (call_result.end == CallEnd::kLost && !call_result.connection_lost) {
          OnCallGivenUp(*exchange, backend, sent);
        }
        if (call_result.leaving) forwarding_state_.OnLeaving(backend);
        if (call_result.backoff) {
          forwarding_state_.OnBackoffRequested(backend, *call_result.backoff);
        }
        if (call_result.rate_limit || call_result.has_no_rate_limit) {
          forwarding_state_.OnRateLimit(backend, call_result.rate_limit, sent);
        }
        if (call_result.end == CallEnd::kAnswered) {
          metrics_.call_latency.Record(latency);
        } else {
          ++metrics_.failed_calls[call_result.reason];
          exchange->failures += backend->entry.id + ": " + call_result.reason + "; ";
          if (call_result.end == CallEnd::kUnreachable) OnUnreachable(backend);
        }
        Execute(exchange, exchange->run.OnResult(number, std::move(call_result), ended));
        exchange->ticket.OnProgress(exchange->run);
      });
}

void ForwardService::OnUnreachable(const std::shared_ptr<Backend>& backend) {
  forwarding_state_.prober().OnUnreachable(backend);
  if (on_unreachable_) on_unreachable_();
}

void ForwardService::ProbeZonesWithoutContact() {
  forwarding_state_.prober().ProbeZonesWithoutContact([this] {
    if (on_unreachable_) on_unreachable_();
  });
}

void ForwardService::ScheduleTimer(const std::shared_ptr<Exchange>& exchange, TimePoint at) {
  exchange->timer.expires_at(at);
  exchange->timer.async_wait([this, exchange, at](const boost::system::error_code& error) {
    if (error || exchange->run.finished()) return;
    TimePoint now = Now();
    timer_delay_.OnFired(at, now);
    Execute(exchange, exchange->run.OnTimer(now));
  });
}

// Lists the servers whose calls were cancelled, with the ages of the calls. `ForwardRun` cancels
// calls before it answers, so the list is complete in `Respond`.
std::string ForwardService::CancelledCalls(const Exchange& exchange) {
  std::string text;
  for (const auto& [backend, age] : exchange.cancelled) {
    text += fmt::format("{}: {} us; ", backend, Microseconds(age));
  }
  return text;
}

void ForwardService::Respond(const std::shared_ptr<Exchange>& exchange, ForwardAnswer answer) {
  exchange->timer.cancel();
  ReleaseLimits(*exchange, Now());
  ReportLosses(*exchange);
  if (MayPassToPeer(*exchange, answer, Now()) && PassToPeer(exchange, {})) return;
  RecordLoad(*exchange, answer);
  const char* outcome = OutcomeName(answer);
  std::string cancelled_calls = CancelledCalls(*exchange);
  Duration latency = Now() - exchange->request.received;
  metrics_.request_latency.Record(latency);
  Count(*exchange, outcome);
  const ForwardCounts& counts = exchange->run.counts();
  LogLine(LogLevel::kInfo, "request answered")
      .Field("request", exchange->request.id)
      .Field("fingerprint", fmt::format("{:016x}", exchange->keys.exact))
      .Field("route", exchange->route->name)
      .Field("outcome", outcome)
      .Field("reason", answer.reason)
      .Field("verdict", VerdictName(answer.verdict()))
      .Field("latency_us", Microseconds(latency))
      .Field("parts", answer.parts.size())
      .Field("missing", answer.missing)
      .Field("calls", counts.calls)
      .Field("copies", counts.hedges)
      .Field("repeats", counts.retries)
      .Field("over_budget", counts.over_budget)
      .Field("without_room", counts.without_capacity)
      .Field("failures", exchange->failures)
      .Field("unanswered", cancelled_calls)
      .Field("left_out", LeftOutServices(exchange->run))
      .Field("routes_version", exchange->routes->document().version)
      .Field("routes_age_us", Microseconds(Now() - exchange->routes_since));
  bool refused = answer.kind == AnswerKind::kRefused;
  HttpResponse response = MakeForwardResponse(exchange->request, std::move(answer),
                                              exchange->route->top_records, protocol_);
  bool not_servable = refused && LacksServers(exchange->run.spec());
  if (not_servable && exchange->from_peer) MarkNotServable(response, exchange->route->name);
  Complete(exchange, std::move(response));
}

void ForwardService::Complete(const std::shared_ptr<Exchange>& exchange, HttpResponse response) {
  if (exchange->presence) exchange->presence->on_disconnect = nullptr;
  ReturnQuotaIfNotRun(*exchange, response);
  exchange->respond(std::move(response));
  active_.erase(exchange);
}

void ForwardService::OnCallerGone(const std::shared_ptr<Exchange>& exchange) {
  bool at_peer = exchange->peer_client != nullptr;
  if (exchange->run.finished() && !at_peer) return;
  exchange->timer.cancel();
  Count(*exchange, "abandoned");
  LogLine(LogLevel::kInfo, "caller left")
      .Field("request", exchange->request.id)
      .Field("route", exchange->route->name)
      .Field("waited_us", Microseconds(Now() - exchange->request.received));
  if (exchange->awaits_quota) {
    CancelQuotaWait(*exchange);
  } else if (at_peer) {
    CancelPeerCall(*exchange);
  } else {
    if (!exchange->run.may_have_run() && exchange->calls.empty()) ReturnQuota(*exchange);
    Execute(exchange, exchange->run.Abandon(Now()));
    ReportLosses(*exchange);
    ReleaseLimits(*exchange, Now());
  }
  active_.erase(exchange);
  // Sending this response makes the server close the connection.
  exchange->respond(MakeForwardRefusal(exchange->request, 504, "the caller left", {}, protocol_));
}

void ForwardService::AbortAll() {
  aborted_ = true;
  auto active = active_;
  for (const auto& exchange : active) {
    if (exchange->awaits_quota) {
      CancelQuotaWait(*exchange);
      Complete(exchange,
               MakeForwardRefusal(exchange->request, 503, "the node ends", {}, protocol_));
    } else if (exchange->peer_client) {
      CancelPeerCall(*exchange);
      Complete(exchange,
               MakeForwardRefusal(exchange->request, 502, "the node ends", {}, protocol_));
    } else {
      Execute(exchange, exchange->run.Abort("the node ends", Now()));
    }
  }
}

bool ForwardService::HasEnoughReachableShards() const {
  if (!forwarding_state_.routes()) return true;
  bool queries = false;
  for (const Route& route : forwarding_state_.routes()->document().routes) {
    if (route.shards.empty()) continue;
    queries = true;
    auto min_parts =
        static_cast<std::ptrdiff_t>(forwarding_state_.routes()->Plan(route).min_required_parts);
    if (CountReachableShards(route) >= min_parts) return true;
  }
  return !queries;
}

std::ptrdiff_t ForwardService::CountReachableShards(const Route& route) const {
  TimePoint now = Now();
  return std::count_if(route.shards.begin(), route.shards.end(), [&](const ServiceName& shard) {
    return forwarding_state_.backends().IsReachable(shard, now);
  });
}

void ForwardService::Count(const Exchange& exchange, const std::string& outcome) {
  const ForwardCounts& counts = exchange.run.counts();
  ++metrics_.answers[outcome];
  metrics_.counts.calls += counts.calls;
  metrics_.counts.hedges += counts.hedges;
  metrics_.counts.retries += counts.retries;
  metrics_.counts.over_budget += counts.over_budget;
  metrics_.counts.without_capacity += counts.without_capacity;
}

void ForwardService::SetSharedLimits(int nodes, const ExtraBudgetOptions& budget) {
  budget_options_ = budget;
  forwarding_state_.SetNodes(nodes);
}

}  // namespace damaskroute
