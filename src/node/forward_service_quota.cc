#include <utility>

#include "damaskroute/node/forward_call.h"
#include "damaskroute/node/forward_service.h"
#include "forward_exchange.h"

// Tokens for requests of tenants that have a quota. Requests of other nodes are charged here
// unless the node states that it has charged them: it may not have known the tenant or its quota.

namespace damaskroute {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

// Returns false if the request needs no token. Otherwise it is begun or refused later.
bool ForwardService::AwaitQuota(const std::shared_ptr<Exchange>& exchange, bool as_canary) {
  const std::string& tenant = exchange->request.tenant;
  bool charged_elsewhere = exchange->from_peer && exchange->charged;
  if (quotas_ == nullptr || charged_elsewhere || exchange->outdated) return false;
  if (!quotas_->HasQuota(tenant)) return false;
  exchange->awaits_quota = true;
  active_.insert(exchange);
  if (exchange->presence) {
    exchange->presence->on_disconnect = [this, weak = std::weak_ptr<Exchange>(exchange)] {
      if (auto locked = weak.lock()) OnCallerGone(locked);
    };
  }
  exchange->quota_waiter =
      quotas_->Take(tenant, [this, exchange, as_canary](const QuotaVerdict& verdict) {
        OnQuotaVerdict(exchange, as_canary, verdict);
      });
  return true;
}

void ForwardService::OnQuotaVerdict(const std::shared_ptr<Exchange>& exchange, bool as_canary,
                                    const QuotaVerdict& verdict) {
  exchange->awaits_quota = false;
  active_.erase(exchange);
  if (exchange->presence) exchange->presence->on_disconnect = nullptr;
  if (verdict.outcome == QuotaOutcome::kGranted) {
    exchange->quota_token = verdict.expires;
    return Begin(exchange, as_canary);
  }
  bool over_quota = verdict.outcome == QuotaOutcome::kOverQuota;
  RefuseWith(exchange->request, over_quota ? 429 : 503,
             over_quota ? "the quota of the tenant is used up" : "the quota cannot be checked now",
             exchange->respond, over_quota ? verdict.retry_after : RetryAfter(*exchange, Now()));
}

void ForwardService::CancelQuotaWait(Exchange& exchange) {
  exchange.awaits_quota = false;
  if (quotas_ != nullptr) quotas_->Cancel(exchange.request.tenant, exchange.quota_waiter);
}

void ForwardService::ReturnQuota(Exchange& exchange) {
  auto token = std::exchange(exchange.quota_token, std::nullopt);
  if (token && quotas_ != nullptr) quotas_->Return(exchange.request.tenant, *token);
}

// A response with a stamp is that of a server, which may have run the request, here or at another
// node.
void ForwardService::ReturnQuotaIfNotRun(Exchange& exchange, const HttpResponse& response) {
  bool from_server = FindHeader(response.headers, protocol_.server_stamp) != nullptr;
  if (PromisesNotRun(response.status) && !from_server && !exchange.run.may_have_run()) {
    ReturnQuota(exchange);
  }
}

void ForwardService::WriteQuotaMetrics(Exposition& page) const {
  if (quotas_ == nullptr) return;
  const QuotaCounters& counters = quotas_->counters();
  page.Family("damaskroute_quota_requests_total", "counter",
              "Requests of tenants with a quota by what became of their wait for a token.");
  for (auto [outcome, count] :
       {std::pair("granted", counters.granted), std::pair("over_quota", counters.over_quota),
        std::pair("unanswered", counters.unanswered), std::pair("returned", counters.returned)}) {
    page.Sample(Exposition::Label("outcome", outcome), static_cast<double>(count));
  }
  page.Family("damaskroute_quota_waiting_requests", "gauge", "Requests that wait for a token.");
  page.Sample("", static_cast<double>(quotas_->waiting()));
  page.Family("damaskroute_quota_bytes_total", "counter",
              "Bytes of datagrams about quotas to and from other nodes.");
  page.Sample(Exposition::Label("direction", "sent"), static_cast<double>(counters.bytes_sent));
  page.Sample(Exposition::Label("direction", "received"),
              static_cast<double>(counters.bytes_received));
  page.Family("damaskroute_quota_malformed_datagrams_total", "counter",
              "Datagrams on the port for quotas that could not be decoded.");
  page.Sample("", static_cast<double>(counters.malformed));
  page.Family("damaskroute_quota_leased_fraction", "gauge",
              "Part of all quotas that other nodes and this one have leased to this node.");
  page.Sample("", quotas_->LeasedFraction());
}

}  // namespace damaskroute
