#ifndef DAMASKROUTE_FORWARD_BACKEND_TABLE_H_
#define DAMASKROUTE_FORWARD_BACKEND_TABLE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/backend.h"
#include "damaskroute/forward/backend_eligibility.h"
#include "damaskroute/forward/backend_table_options.h"
#include "damaskroute/forward/reporting_servers.h"
#include "damaskroute/forward/version_gate.h"
#include "damaskroute/forward/zone_reachability.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute {

/// Preference rank of a backend server for a call; lower is better.
enum class BackendRank : std::uint8_t {
  kGood,
  kDegraded,     ///< Cold, stalled, or recently shedding or failing calls.
  kTooSlow,      ///< Its expected latency exceeds the latency objective.
  kUnreachable,  ///< Recent attempts to connect failed.
};

/// Time constraints of a call.
struct CallTimes {
  TimePoint deadline;                      ///< The caller waits no longer.
  TimePoint answer_by = TimePoint::max();  ///< A later response misses the objective.
  Duration mean_latency = std::chrono::milliseconds(20);  ///< Of the route, to all servers.
  bool hedge = false;  ///< Whether another call of the same part is in progress.
};

/// A chosen backend server; null if none is eligible.
struct BackendChoice {
  std::shared_ptr<Backend> backend;
  BackendRank rank = BackendRank::kGood;
};

/// The backend servers of all services, and the selection of a server for each call: by rank, then
/// by the least expected time to a response. A server in another zone costs a small extra delay,
/// because traffic between zones is billed.
class BackendTable {
 public:
  BackendTable(BackendTableOptions options, std::uint64_t seed);

  /// Adds a server or updates its entry. The statistics are kept; for another incarnation call
  /// `Remove` first and pass the incarnation that it `replaces`.
  void Put(const BackendEntry& entry, TimePoint now, const Backend* replaces = nullptr);

  /// Removes a server. Calls in progress continue.
  void Remove(const BackendName& id);

  /// Sets what decides which versions get calls; null, as at first, for no restriction. Must
  /// outlive this object.
  void SetVersionGate(const VersionGate* gate) { version_gate_ = gate; }

  /// Sets the zones that receive no calls.
  void SetClosedZones(std::set<ZoneName> zones) { closed_zones_ = std::move(zones); }
  const std::set<ZoneName>& closed_zones() const { return closed_zones_; }

  /// Installs the policies of the services. `nodes`: number of nodes that share the limits.
  void SetPolicies(std::shared_ptr<const RouteTable> routes, int nodes);

  /// Sets the names of the nodes that share the limits, which order them for each server.
  void SetNodeNames(std::vector<NodeName> names);

  /// Selects a server for a call that is not among `tried`.
  BackendChoice Choose(const ServiceName& service,
                       const std::vector<std::shared_ptr<Backend>>& tried, const CallTimes& times,
                       TimePoint now);

  /// Records the end of a call that was sent at `sent`. `mean_latency`: mean of the calls of the
  /// same route to all servers.
  void OnCallEnded(Backend& backend, TimePoint sent, CallObservation observation,
                   Duration mean_latency, TimePoint now);

  /// The server that was called, as it is known now: after its entry has expired and returned,
  /// another object may represent it.
  std::shared_ptr<Backend> Current(const std::shared_ptr<Backend>& called) const;

  /// Same as `Current`, and retains what the server reports of itself (`leaving`, `rate_limit`,
  /// `backoff_until`) until its next incarnation, whatever happens to its entry.
  std::shared_ptr<Backend> RetainReport(const std::shared_ptr<Backend>& called);

  /// Records a response that states a rate limit. Returns whether this begins a limit.
  bool OnRateStated(Backend& backend, double rate, TimePoint now);

  /// Records a backoff that the server requested (Retry-After). Returns whether this begins a
  /// backoff.
  bool OnBackoffRequested(Backend& backend, std::chrono::milliseconds backoff, TimePoint now);

  /// Earliest time at which a server of the service accepts calls that it does not accept now
  /// because of a backoff or its rate limit; `TimePoint::max()` if there is no such server. In the
  /// latter case at most a short time from now, after which another node may serve the request.
  TimePoint AcceptsAgainAt(const ServiceName& service, TimePoint now) const;

  /// Records the end of an attempt, begun at `begun`, to open a connection outside of a call.
  void OnProbed(Backend& backend, TimePoint begun, bool opened, TimePoint now);

  /// Whether any server of the service is considered reachable, busy or not.
  bool IsReachable(const ServiceName& service, TimePoint now) const {
    return CountReachable(service, now) > 0;
  }

  /// Number of servers of the service that are considered reachable, busy or not.
  std::ptrdiff_t CountReachable(const ServiceName& service, TimePoint now) const;

  /// Whether the server is considered reachable, busy or not.
  bool IsReachable(const Backend& backend, TimePoint now) const;

  /// Whether the zone is considered unreachable.
  bool IsZoneUnreachable(const ZoneName& zone, TimePoint now) const {
    return zone_reachability_.IsZoneUnreachable(zone, now);
  }

  /// All zones that are considered unreachable.
  std::set<ZoneName> UnreachableZones(TimePoint now) const {
    return zone_reachability_.UnreachableZones(now);
  }

  /// Zones other than the local one that are in use and without recent contact.
  std::set<ZoneName> ZonesWithoutRecentContact(TimePoint now) const;

  /// Up to `count` random servers of a zone that have no calls in progress and are not known to be
  /// unreachable.
  std::vector<std::shared_ptr<Backend>> SampleIdleServers(const ZoneName& zone, std::size_t count);

  /// Eligibility of a server for a call at `now`.
  BackendEligibility EligibilityOf(const Backend& backend, TimePoint now) const;

  const std::map<BackendName, std::shared_ptr<Backend>>& all() const { return by_id_; }

  /// All servers of a service.
  const std::vector<std::shared_ptr<Backend>>& ServersOf(const ServiceName& service) const;

  /// Returns null if the server is unknown.
  std::shared_ptr<Backend> Find(const BackendName& id) const;

  std::size_t size() const { return by_id_.size(); }

  /// Number of servers that state a rate limit.
  std::size_t CountRateLimited() const;

 private:
  BackendChoice ChooseAmong(const ServiceName& service,
                            const std::vector<std::shared_ptr<Backend>>& tried,
                            const CallTimes& times, const VersionPreference& versions,
                            TimePoint now);
  bool AllowsVersion(const Backend& backend, TimePoint now) const {
    return version_gate_ == nullptr ||
           version_gate_->Allows(backend.entry.service, backend.entry.version, now);
  }
  std::shared_ptr<Backend> MakeBackend(const BackendEntry& entry) const;
  void OnMayHaveRestarted(Backend& backend, TimePoint now);
  static bool AllowsCall(const Backend& backend, const CallTimes& times, TimePoint now);
  static bool HasTime(const Backend& backend, const CallTimes& times, TimePoint now);
  static BackendRank RankOf(const Backend& backend, BackendEligibility eligibility,
                            const CallTimes& times, TimePoint now);
  double CostOf(const Backend& backend, const CallTimes& times, TimePoint now);
  void ApplyPolicy(Backend& backend) const;
  int PositionFor(const Backend& backend) const;
  double NodeColdRate(const Backend& backend, const ServicePolicy& policy) const;

  const BackendTableOptions options_;
  const std::uint64_t seed_;
  Random random_;
  const VersionGate* version_gate_ = nullptr;
  std::shared_ptr<const RouteTable> routes_;
  int nodes_ = 1;
  std::vector<NodeName> node_names_;
  std::set<ZoneName> closed_zones_;
  ZoneReachability zone_reachability_;
  ReportingServers reporting_;
  std::map<BackendName, std::shared_ptr<Backend>> by_id_;
  std::map<ServiceName, std::vector<std::shared_ptr<Backend>>> by_service_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_TABLE_H_
