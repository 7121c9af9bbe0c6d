#include <algorithm>
#include <utility>

#include "damaskroute/core/hash.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/metrics/exposition.h"
#include "damaskroute/node/forward_service.h"
#include "forward_exchange.h"

// Which requests run where there is too much load, and when refused ones may come again.

namespace damaskroute {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

// Number of tenants in the metrics.
constexpr std::size_t kMaxTenantsInMetrics = 20;

// Time in which a plain request can be served, as a multiple of the mean latency of its route's
// calls.
constexpr int kNeededLatencies = 2;

// Distinguishes a service from a set of shards in the hash.
constexpr std::uint64_t kServiceSeed = 1;

}  // namespace

bool ForwardService::Admit(Exchange& exchange) {
  TimePoint now = Now();
  tenant_admission_.SetRoutes(exchange.routes);
  if (tenant_admission_.has_tenants()) return AdmitByTenant(exchange, now);
  if (exchange.route->shards.empty()) return true;
  return AdmitQuery(exchange, exchange.routes->Plan(*exchange.route).urgent,
                    /*only_if_spare=*/false, now);
}

bool ForwardService::AdmitByTenant(Exchange& exchange, TimePoint now) {
  const TenantName& tenant = exchange.request.tenant;
  bool early_repeat = early_repeats_.IsEarly(tenant, exchange.keys.exact, now);
  FairShareDecision decision = tenant_admission_.Admit({.servers = ServersOf(exchange),
                                                        .tenant = tenant,
                                                        .route_priority = exchange.route->priority,
                                                        .early_repeat = early_repeat},
                                                       now);
  bool only_if_spare = decision == FairShareDecision::kAdmitIfSpare;
  // Without a limit it is not known whether a service has capacity to spare.
  if (exchange.route->shards.empty()) return !only_if_spare;
  only_if_spare = only_if_spare || early_repeat;
  // Before requests are turned away, the last of the limit is left to the most urgent ones. Then
  // the probabilities rank the tenants; a reserve as well would leave less than a quarter to the
  // last.
  bool first = tenant_admission_.IsLimited(ServersOf(exchange))
                   ? decision != FairShareDecision::kAdmitIfSpare
                   : exchange.routes->IsUrgent(*exchange.route, exchange.tenant);
  if (AdmitQuery(exchange, first, only_if_spare, now)) {
    tenant_admission_.OnServed(ServersOf(exchange), now);
    return true;
  }
  if (!only_if_spare) OnTurnedAway(exchange, now);
  return false;
}

// Queries over the same shards share a limit, the last of which is left to urgent ones.
bool ForwardService::AdmitQuery(Exchange& exchange, bool urgent, bool only_if_spare,
                                TimePoint now) {
  OverloadLimit& limit = limits_[exchange.routes->Plan(*exchange.route).shard_set];
  if (only_if_spare && !limit.HasSpareRoom()) return false;
  const ForwardSpec& spec = exchange.run.spec();
  std::size_t calls = spec.services.size();
  Duration time_left = std::min(spec.answer_by, spec.deadline) - now;
  if (!processor_limit_.Allows(calls, time_left, timer_delay_.allowance(), now)) {
    ++busy_refusals_;
    return false;
  }
  if (!exchange.ticket.TryAdmit(limit, urgent, exchange.run, now)) return false;
  processor_limit_.OnStarted(calls, now);
  exchange.processor_calls = calls;
  return true;
}

void ForwardService::ReleaseLimits(Exchange& exchange, TimePoint now) {
  exchange.ticket.Release(exchange.run, now);
  processor_limit_.OnEnded(std::exchange(exchange.processor_calls, 0));
}

ServerSet ForwardService::ServersOf(const Exchange& exchange) {
  const Route& route = *exchange.route;
  if (!route.shards.empty()) return exchange.routes->Plan(route).shard_set;
  return Hash64(exchange.run.spec().services.front(), kServiceSeed);
}

void ForwardService::OnTurnedAway(const Exchange& exchange, TimePoint now) {
  if (!tenant_admission_.has_tenants()) return;
  if (!tenant_admission_.OnTurnedAway(ServersOf(exchange), now)) return;
  LogLine(LogLevel::kWarning, "too much load, requests limited by tenant")
      .Field("route", exchange.route->name)
      .Field("service", exchange.run.spec().services.front())
      .Field("services", exchange.run.spec().services.size());
}

void ForwardService::RefuseOverload(const Exchange& exchange) {
  TimePoint now = Now();
  auto retry_after = RetryAfter(exchange, now);
  if (tenant_admission_.has_tenants()) {
    const TenantName& tenant = exchange.request.tenant;
    early_repeats_.OnRefused(tenant, exchange.keys.exact, now + retry_after, now);
    tenant_admission_.OnRefused(tenant);
  }
  bool query = !exchange.route->shards.empty();
  RefuseWith(exchange.request, 503, query ? "too many queries" : "too many requests",
             exchange.respond, retry_after);
}

std::chrono::milliseconds ForwardService::RetryAfter(const Exchange& exchange, TimePoint now) {
  auto objective = exchange.route->objective;
  Duration time_left = exchange.run.spec().deadline - now -
                       CallerNetworkDelay(exchange.request.connection, objective);
  return retry_after_.Choose(time_left, objective, now);
}

// Queries are recorded when they start. A plain request finds out at its servers whether there is
// capacity for it.
void ForwardService::RecordLoad(const Exchange& exchange, const ForwardAnswer& answer) {
  if (!tenant_admission_.has_tenants()) return;
  bool refused = answer.kind == AnswerKind::kRefused;
  if (refused) tenant_admission_.OnRefused(exchange.request.tenant);
  if (!exchange.route->shards.empty()) return;
  TimePoint now = Now();
  if (!refused) return tenant_admission_.OnServed(ServersOf(exchange), now);
  // A request that had too little time, or whose service has no reachable server, does not show
  // that capacity is missing. Counted, it would lower the shares of others, which changes nothing
  // for it.
  const ForwardSpec& spec = exchange.run.spec();
  Duration needed = kNeededLatencies * latencies_.at(exchange.route->name).mean();
  bool had_time = spec.deadline - exchange.request.received >= needed;
  if (had_time && !LacksServers(spec)) OnTurnedAway(exchange, now);
}

void ForwardService::WriteTenantMetrics(Exposition& page) const {
  if (!tenant_admission_.has_tenants()) return;
  page.Family("damaskroute_forward_tenant_refusals_total", "counter",
              "Requests refused because of too much load, of the tenants with the most of them.");
  for (const auto& [tenant, count] : tenant_admission_.refusals().Top(kMaxTenantsInMetrics)) {
    page.Sample(Exposition::Label("tenant", tenant), static_cast<double>(count));
  }
  page.Family("damaskroute_forward_limited_by_tenant", "gauge",
              "Sets of servers with too much load, whose requests are limited by tenant.");
  page.Sample("", static_cast<double>(tenant_admission_.overloaded()));
}

}  // namespace damaskroute
