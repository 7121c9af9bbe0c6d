#ifndef DAMASKROUTE_NODE_FORWARD_SERVICE_H_
#define DAMASKROUTE_NODE_FORWARD_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/json_writer.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/crashguard/request_crash_guard.h"
#include "damaskroute/forward/admission_ticket.h"
#include "damaskroute/forward/caller_network_delay.h"
#include "damaskroute/forward/early_repeats.h"
#include "damaskroute/forward/extra_budget.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/forward/given_up_calls.h"
#include "damaskroute/forward/peer_selector.h"
#include "damaskroute/forward/processor_limit.h"
#include "damaskroute/forward/retry_after_policy.h"
#include "damaskroute/forward/tenant_admission.h"
#include "damaskroute/forward/timer_delay.h"
#include "damaskroute/http/byte_budget.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/metrics/exposition.h"
#include "damaskroute/node/caller_request.h"
#include "damaskroute/node/crash_exchange.h"
#include "damaskroute/node/forward_metrics.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/node/forward_service_options.h"
#include "damaskroute/node/forwarding_state.h"
#include "damaskroute/node/peer_clients.h"
#include "damaskroute/node/quota_exchange.h"
#include "damaskroute/rollout/rollout_table.h"
#include "damaskroute/routing/route_table.h"
#include "damaskroute/routing/weighted_split.h"

namespace damaskroute {

/// Serves callers' requests according to the active routes and backend servers: executes the
/// actions of `ForwardRun` on connections. Must only be used on its event loop.
class ForwardService {
 public:
  ForwardService(asio::io_context& loop, ForwardServiceOptions options, ForwardProtocol protocol);
  ~ForwardService();
  ForwardService(const ForwardService&) = delete;
  ForwardService& operator=(const ForwardService&) = delete;

  /// Serves one request. `respond` is called once, also if the caller disconnects.
  void Handle(HttpRequest request, HttpResponder respond);

  /// Serves a request that another node could not serve. It is not passed on again: if this node
  /// cannot serve it either, the response says so in `kNotServableHeader`.
  void HandleFromPeer(HttpRequest request, HttpResponder respond);

  /// Refuses a request of another node because this node ends; the other node tries a third one.
  void RefuseFromPeer(HttpRequest request, const HttpResponder& respond);

  /// Sets the nodes to which requests are passed that this node cannot serve, as it reaches too few
  /// backend servers.
  void SetPeers(std::vector<Peer> peers);

  /// Handles a request of another node with `kCrashPageHeader`.
  void HandleCrashPage(const HttpRequest& request, const HttpResponder& respond) {
    crash_exchange_.Handle(request, respond);
  }

  /// Refuses a request with status 503 without running it.
  void Refuse(HttpRequest request, const char* reason, const HttpResponder& respond);

  /// Sets the number of nodes that share the limits of backend servers, and this node's limits of
  /// extra calls.
  void SetSharedLimits(int nodes, const ExtraBudgetOptions& budget);

  /// Sets where requests of tenants with a quota get their tokens; null if tenants have no quotas.
  void SetQuotas(QuotaExchange* quotas) { quotas_ = quotas; }

  /// Appends the metrics of the quotas; none if tenants have no quotas.
  void WriteQuotaMetrics(Exposition& page) const;

  /// Aborts all active requests before the process exits.
  void AbortAll();

  /// Whether the node can reach enough shards for the queries of at least one route; true if no
  /// route has shards.
  bool HasEnoughReachableShards() const;

  /// Probes whether zones without recent contact are reachable.
  void ProbeZonesWithoutContact();

  /// Sets a function that is called whenever a backend server could not be reached.
  void SetOnUnreachable(std::function<void()> hook) { on_unreachable_ = std::move(hook); }

  /// Sets the function that returns the age of the configuration, nullopt if it is unknown; see
  /// `ConfigurationAge`.
  void SetConfigurationAge(std::function<std::optional<Duration>()> age) {
    configuration_age_ = std::move(age);
  }

  /// The routes and backend servers by which requests are served.
  ForwardingState& forwarding_state() { return forwarding_state_; }
  const ForwardingState& forwarding_state() const { return forwarding_state_; }

  /// Writes the routes, the backend servers with their eligibility, and the extra calls by service
  /// as members of the current JSON object.
  void WriteState(JsonWriter& writer, TimePoint now) const;

  /// Appends the metrics of tenants to `page`; nothing without tenants.
  void WriteTenantMetrics(Exposition& page) const;

  /// Number of queries that were refused because this node had too little processor time.
  std::uint64_t busy_refusals() const { return busy_refusals_; }

  /// Adds the metrics of rollouts, if there are any.
  void WriteRolloutMetrics(Exposition& page) const;

  std::size_t active() const { return active_.size(); }
  const ForwardMetrics& metrics() const { return metrics_; }
  const CrashGuard& crash_guard() const { return crash_guard_; }
  CrashGuard& crash_guard() { return crash_guard_; }

  /// The rollouts, which are decided elsewhere. Empty unless the store has an order or a record.
  RolloutTable& rollouts() { return rollouts_; }
  const RolloutTable& rollouts() const { return rollouts_; }

  /// From now on, the rollouts decide which versions get calls.
  void EnableVersions() { forwarding_state_.backends().SetVersionGate(&rollouts_); }

  /// Versions of the servers of a service that have an entry and do not leave.
  std::set<std::string> VersionsOf(const ServiceName& service) const;

  /// Number of calls in progress to servers of a service that have another version.
  std::int64_t CountOpenCalls(const ServiceName& service, const std::string& version) const;

  /// Sets a function that is called whenever requests may have been blocked.
  void SetOnCrashRecords(std::function<void()> on_change) {
    crash_exchange_.SetOnChange(std::move(on_change));
  }

 private:
  struct Exchange;
  struct CallInProgress {
    std::shared_ptr<BackendClient> client;
    std::shared_ptr<Backend> backend;
    std::uint64_t id = 0;
    TimePoint sent;
  };

  // Who sent a request, and how it may run.
  struct Origin {
    bool peer = false;
    int max_attempts = 1;
    bool canary = false;
    const Tenant* tenant = nullptr;  // Held by the routes in force; null if there is none.
    bool charged = false;            // The other node has charged it to a quota.
    bool outdated = false;           // Must not run here, as the configuration is too old.
  };

  static CrashGuardSettings MakeCrashGuardSettings();

  void Serve(CallerRequest request, std::shared_ptr<CallerPresence> presence, const Route& route,
             const Origin& origin, HttpResponder respond);
  bool HasTenants() const;
  std::vector<HeaderField> TakeCredentialsIfNeeded(HttpRequest& request) const;
  bool IsConfigurationTooOld() const;
  bool Authorize(CallerRequest& request, std::vector<HeaderField> credentials, const Route& route,
                 Origin& origin, const HttpResponder& respond);
  void Begin(const std::shared_ptr<Exchange>& exchange, bool as_canary);
  bool AwaitQuota(const std::shared_ptr<Exchange>& exchange, bool as_canary);
  void OnQuotaVerdict(const std::shared_ptr<Exchange>& exchange, bool as_canary,
                      const QuotaVerdict& verdict);
  void CancelQuotaWait(Exchange& exchange);
  void ReturnQuota(Exchange& exchange);
  void ReturnQuotaIfNotRun(Exchange& exchange, const HttpResponse& response);
  bool RefuseIfBlocked(const Exchange& exchange);
  bool BeginGuarded(Exchange& exchange, bool as_canary);
  void TrackCrashes(Exchange& exchange, Backend& backend, const CallResult& result, TimePoint sent,
                    TimePoint now);
  bool MayHaveCrashed(const Backend& backend, TimePoint sent, TimePoint now) const;
  void ReportLosses(Exchange& exchange);
  void OnCallGivenUp(const Exchange& exchange, const std::shared_ptr<Backend>& backend,
                     TimePoint sent);
  void CountRolloutCall(const Backend& backend);
  void TrackRollout(const Exchange& exchange, const Backend& backend, bool failed, Duration latency,
                    TimePoint now);
  void WriteRollouts(JsonWriter& writer) const;
  void ScheduleGivenUpChecks();
  void CheckGivenUpCalls();
  void ReportGivenUpLosses(const std::vector<GivenUpCall>& calls);
  bool MayPassToPeer(Exchange& exchange, const ForwardAnswer& answer, TimePoint now);
  bool LacksServers(const ForwardSpec& spec) const;
  bool PassToPeer(const std::shared_ptr<Exchange>& exchange, const NodeName& suggested);
  void OnPeerAnswer(const std::shared_ptr<Exchange>& exchange, const Peer& peer,
                    ExchangeResult result);
  void CancelPeerCall(Exchange& exchange);
  void RefuseToPeer(const CallerRequest& request, const char* reason, const std::string& route,
                    const HttpResponder& respond);
  void MarkNotServable(HttpResponse& response, const std::string& route);
  void Complete(const std::shared_ptr<Exchange>& exchange, HttpResponse response);
  ForwardSpec MakeSpec(const Route& route, const ForwardTimes& times);
  Duration ReservedTime(const Route& route, const CallerRequest& request) const;
  void Execute(const std::shared_ptr<Exchange>& exchange, std::vector<ForwardAction> actions);
  void StartCall(const std::shared_ptr<Exchange>& exchange, const SendCall& send);
  void OnUnreachable(const std::shared_ptr<Backend>& backend);
  void ScheduleTimer(const std::shared_ptr<Exchange>& exchange, TimePoint at);
  static std::string CancelledCalls(const Exchange& exchange);
  void Respond(const std::shared_ptr<Exchange>& exchange, ForwardAnswer answer);
  void RefuseWith(const CallerRequest& request, int status, const char* reason,
                  const HttpResponder& respond, std::chrono::milliseconds retry_after);
  bool Admit(Exchange& exchange);
  bool AdmitByTenant(Exchange& exchange, TimePoint now);
  bool AdmitQuery(Exchange& exchange, bool urgent, bool only_if_spare, TimePoint now);
  void ReleaseLimits(Exchange& exchange, TimePoint now);
  void RefuseOverload(const Exchange& exchange);
  static ServerSet ServersOf(const Exchange& exchange);
  void RecordLoad(const Exchange& exchange, const ForwardAnswer& answer);
  void OnTurnedAway(const Exchange& exchange, TimePoint now);
  std::chrono::milliseconds RetryAfter(const Exchange& exchange, TimePoint now);
  std::ptrdiff_t CountReachableShards(const Route& route) const;
  void WriteRoutes(JsonWriter& writer) const;
  void OnCallerGone(const std::shared_ptr<Exchange>& exchange);
  void Count(const Exchange& exchange, const std::string& outcome);

  asio::io_context& loop_;
  const ForwardServiceOptions options_;
  const ForwardProtocol protocol_;
  TimerDelay timer_delay_;
  Random random_;
  const std::shared_ptr<ByteBudget> body_budget_;
  RolloutTable rollouts_;
  ForwardingState forwarding_state_;
  ExtraBudgetOptions budget_options_;
  std::unordered_map<ServiceName, ExtraBudget> budgets_;
  std::unordered_map<std::string, WeightedSplit> splits_;    // By route.
  std::unordered_map<std::uint64_t, OverloadLimit> limits_;  // By set of shards.
  std::unordered_map<std::string, RouteLatency> latencies_;  // By route.
  ProcessorLimit processor_limit_;
  TenantAdmission tenant_admission_;
  RetryAfterPolicy retry_after_;
  EarlyRepeats early_repeats_;
  std::uint64_t busy_refusals_ = 0;
  std::set<std::shared_ptr<Exchange>> active_;
  ForwardMetrics metrics_;
  std::function<void()> on_unreachable_;
  std::function<std::optional<Duration>()> configuration_age_;
  bool aborted_ = false;
  QuotaExchange* quotas_ = nullptr;
  PeerSelector peer_selector_;
  PeerClients peer_clients_;
  CrashGuard crash_guard_;
  RequestCrashGuard request_guard_;
  CrashExchange crash_exchange_;
  GivenUpCalls given_up_calls_;
  asio::steady_timer given_up_timer_;
  TimePoint next_given_up_check_ = TimePoint::max();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVICE_H_
