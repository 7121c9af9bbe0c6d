#include <algorithm>
#include <chrono>

#include "damaskroute/core/hash.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_service.h"
#include "fmt/format.h"
#include "forward_exchange.h"

// Requests that may crash the backend servers which run them.

namespace damaskroute {
namespace {

// Minimum time between two checks of calls that were given up, which bounds the connections that
// are opened to a server for them.
constexpr std::chrono::milliseconds kMinCheckInterval{50};

// Retry-After while the same request runs as a canary on this node.
constexpr std::chrono::milliseconds kCanaryRetry{100};

TimePoint Now() { return SteadyClock().Now(); }

std::uint64_t IncarnationOf(const BackendEntry& entry) {
  return Hash64(entry.id, static_cast<std::uint64_t>(entry.incarnation));
}

std::uint64_t LossId(const std::string& request, std::uint64_t incarnation, TimePoint at) {
  return Hash64(request, incarnation ^ static_cast<std::uint64_t>(at.time_since_epoch().count()));
}

}  // namespace

// A connection is lost far more often than a server crashes because of a request: a failed server
// or link is not enough to restrict the requests that were running there.
CrashGuardSettings ForwardService::MakeCrashGuardSettings() {
  CrashGuardSettings settings;
  settings.known_good_slots = 1;  // Not used, as both thresholds are equal.
  settings.crashes_to_suspect = 2;
  settings.crashes_to_block = 3;
  settings.crashes_to_block_known_good = 3;
  settings.only_successive_losses_block = true;
  settings.successive_losses_to_block_briefly = 2;
  settings.canaries_after_crash = false;
  return settings;
}

bool ForwardService::RefuseIfBlocked(const Exchange& exchange) {
  using std::chrono::milliseconds;
  Duration left = request_guard_.BlockedFor(exchange.keys, Now());
  if (left == Duration::zero()) return false;
  RefuseWith(exchange.request, 503, "backend servers crashed while they ran this request",
             exchange.respond, std::chrono::ceil<milliseconds>(left));
  return true;
}

// Returns false if the request was refused.
bool ForwardService::BeginGuarded(Exchange& exchange, bool as_canary) {
  CrashMode mode = request_guard_.Check(exchange.keys, Now());
  if (mode == CrashMode::kWait) {
    RefuseWith(exchange.request, 503, "the same request is being tried on one backend server",
               exchange.respond, kCanaryRetry);
    return false;
  }
  exchange.canary = as_canary || mode == CrashMode::kCanary;
  if (exchange.canary) exchange.run.RunAsCanary();
  return true;
}

// Whether a call that began at `sent` and lost its connection may have crashed the server. A server
// that is leaving closes connections without a crash, and one that was lost earlier is still down.
bool ForwardService::MayHaveCrashed(const Backend& backend, TimePoint sent, TimePoint now) const {
  if (backend.gone || backend.leaving || backend.entry.draining) return false;
  TimePoint lost_at =
      std::max(backend.lost_at, crash_guard_.LostAt(IncarnationOf(backend.entry), now));
  return sent < lost_at || lost_at <= backend.answered_at;
}

void ForwardService::TrackCrashes(Exchange& exchange, Backend& backend, const CallResult& result,
                                  TimePoint sent, TimePoint now) {
  std::uint64_t incarnation = IncarnationOf(backend.entry);
  if (result.end == CallEnd::kAnswered || result.end == CallEnd::kServerError ||
      result.end == CallEnd::kNotRun) {
    backend.answered_at = std::max(backend.answered_at, sent);
    crash_guard_.OnAnswer(incarnation, sent, now);
  }
  // A server that reports an error lives, but may not have run the request.
  if (result.end == CallEnd::kAnswered && !exchange.server_survived) {
    exchange.server_survived = true;
    exchange.losses.clear();
    request_guard_.OnSuccess(exchange.keys, now);
  }
  if (result.connection_lost) {
    if (!exchange.server_survived && MayHaveCrashed(backend, sent, now)) {
      auto id = LossId(exchange.request.id, incarnation, now);
      exchange.losses.push_back({id, incarnation, sent, now});
    }
    backend.lost_at = now;
    if (request_guard_.IsSuspect(exchange.keys, now)) exchange.run.RunAsCanary();
  }
  if (crash_guard_.has_changes()) crash_exchange_.Update();
}

// Losses are reported when the request ends, as an answer of another server shows that the request
// crashes none.
void ForwardService::ReportLosses(Exchange& exchange) {
  TimePoint now = Now();
  auto losses = std::exchange(exchange.losses, {});
  std::size_t recorded = 0;
  for (const CrashLoss& loss : losses) {
    if (request_guard_.OnLoss(exchange.keys, loss)) ++recorded;
  }
  if (exchange.canary) request_guard_.OnEnd(exchange.keys, now);
  if (losses.empty()) return;
  bool blocked = request_guard_.BlockedFor(exchange.keys, now) > Duration::zero();
  auto record = request_guard_.RecordOf(exchange.keys);
  LogLine(LogLevel::kWarning, "connections lost while backend servers ran a request")
      .Field("request", exchange.request.id)
      .Field("fingerprint", fmt::format("{:016x}", exchange.keys.exact))
      .Field("target", exchange.request.target)
      .Field("lost", losses.size())
      .Field("recorded", recorded)
      .Field("known_losses", record ? record->CountLosses() : 0)
      .Field("successive_losses", record ? record->CountSuccessiveLosses() : 0)
      .Field("canary", exchange.canary ? "yes" : "no")
      .Field("blocked", blocked ? "yes" : "no");
  crash_exchange_.Update();
}

// The connection of the call is closed at once, so that the server stops; whether the request
// crashes the server shows afterwards.
void ForwardService::OnCallGivenUp(const Exchange& exchange,
                                   const std::shared_ptr<Backend>& backend, TimePoint sent) {
  if (exchange.server_survived) return;
  given_up_calls_.Add({backend, exchange.keys, exchange.request.id, sent, Now()});
  ScheduleGivenUpChecks();
}

void ForwardService::ScheduleGivenUpChecks() {
  TimePoint due = given_up_calls_.next_due();
  if (due == TimePoint::max()) return;
  due = std::max<TimePoint>(due, Now() + kMinCheckInterval);
  if (due >= next_given_up_check_) return;
  next_given_up_check_ = due;
  given_up_timer_.expires_at(due);
  given_up_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    next_given_up_check_ = TimePoint::max();
    CheckGivenUpCalls();
  });
}

void ForwardService::CheckGivenUpCalls() {
  std::vector<GivenUpCall> lost;
  std::unordered_map<std::shared_ptr<Backend>, std::vector<GivenUpCall>> unknown;
  for (GivenUpCall& call : given_up_calls_.TakeDue(Now())) {
    ServerFate fate = GivenUpCalls::FateOf(call);
    if (fate == ServerFate::kAlive) continue;
    auto& calls = fate == ServerFate::kLost ? lost : unknown[call.backend];
    calls.push_back(std::move(call));
  }
  ReportGivenUpLosses(lost);
  for (auto& [backend, calls] : unknown) {
    auto client = forwarding_state_.pool().ClientFor(backend);
    client->CheckRefused([this, client, calls = std::move(calls)](bool refused) {
      // Defers the client's destruction until this callback, which it runs, has returned.
      asio::post(loop_, [client] {});
      if (refused) return ReportGivenUpLosses(calls);
      for (const GivenUpCall& call : calls) given_up_calls_.AddChecked(call);
      ScheduleGivenUpChecks();
    });
  }
  ScheduleGivenUpChecks();
}

void ForwardService::ReportGivenUpLosses(const std::vector<GivenUpCall>& calls) {
  TimePoint now = Now();
  for (const GivenUpCall& call : calls) {
    std::uint64_t incarnation = IncarnationOf(call.backend->entry);
    TimePoint known = crash_guard_.LostAt(incarnation, now);
    if (known != TimePoint() && known < call.sent) continue;
    call.backend->lost_at = std::max(call.backend->lost_at, now);
    // The server may have crashed, and restarted, at any time since the call ended.
    request_guard_.OnLoss(call.keys, {LossId(call.request, incarnation, call.ended), incarnation,
                                      call.sent, call.ended});
    auto record = request_guard_.RecordOf(call.keys);
    LogLine(LogLevel::kWarning, "backend server lost after a call was given up")
        .Field("request", call.request)
        .Field("fingerprint", fmt::format("{:016x}", call.keys.exact))
        .Field("backend", call.backend->entry.id)
        .Field("known_losses", record ? record->CountLosses() : 0)
        .Field("successive_losses", record ? record->CountSuccessiveLosses() : 0);
  }
  if (!calls.empty()) crash_exchange_.Update();
}

}  // namespace damaskroute
