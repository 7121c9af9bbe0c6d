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
#include "damaskroute/forward/backend_table_options.h"
#include "damaskroute/forward/backend_use.h"
#include "damaskroute/forward/zone_reach.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute {

/// Which rung of preference a chosen backend server stands on; lower is better.
enum class BackendStanding : std::uint8_t {
  kGood,
  kDoubtful,     ///< Cold, stalled, or shedding or failing recently.
  kTooSlow,      ///< It will hardly answer in the time wanted.
  kUnreachable,  ///< It could not be reached lately.
};

/// What is known of the time of a call.
struct CallTimes {
  TimePoint deadline;                              ///< An answer after it is of no use.
  TimePoint wanted = TimePoint::max();             ///< An answer after it is late.
  Duration usual = std::chrono::milliseconds(20);  ///< Latency of such calls over all servers.
};

/// A chosen backend server; null if none may be used.
struct BackendChoice {
  std::shared_ptr<Backend> backend;
  BackendStanding standing = BackendStanding::kGood;
};

/// The backend servers of all services, and the decision to which of them a call goes: a server in
/// good standing first, and among equals the one with the least expected time to an answer. Another
/// zone counts as a small delay, because traffic between zones is paid for.
class BackendTable {
 public:
  BackendTable(BackendTableOptions options, std::uint64_t seed);

  /// Adds a server or changes its data. What was learnt of it is kept; `Remove` a predecessor
  /// first.
  void Put(const BackendEntry& entry, TimePoint now);

  /// Removes a server. Calls on their way to it go on.
  void Remove(const BackendName& id);

  /// Zones that get no calls.
  void SetClosedZones(std::set<ZoneName> zones) { closed_zones_ = std::move(zones); }
  const std::set<ZoneName>& closed_zones() const { return closed_zones_; }

  /// Installs the policies of the services. `nodes`: number of nodes that share their limits.
  void SetPolicies(std::shared_ptr<const RouteTable> routes, int nodes);

  /// Server for a call, none of `tried`.
  BackendChoice Choose(const ServiceName& service,
                       const std::vector<std::shared_ptr<Backend>>& tried, const CallTimes& times,
                       TimePoint now);

  /// A call to the server that was sent at `sent` ended. `usual`: latency of such calls over all
  /// servers.
  void OnCallEnded(Backend& backend, TimePoint sent, EvidenceOf kind, Duration usual,
                   TimePoint now);

  /// The server asked this node for a pause. Returns whether it had not asked for one before.
  bool OnAskedToWait(Backend& backend, std::chrono::milliseconds pause, TimePoint now);

  /// When the first server of the service that asked for a pause takes requests again;
  /// `TimePoint::max()` if none did.
  TimePoint ReturnOf(const ServiceName& service, TimePoint now) const;

  /// An attempt to open a connection outside of a call, begun at `begun`, ended.
  void OnProbed(Backend& backend, TimePoint begun, bool opened, TimePoint now);

  /// Whether a server of the service can be reached as far as is known, busy or not.
  bool IsReached(const ServiceName& service, TimePoint now) const {
    return CountReached(service, now) > 0;
  }

  /// Number of servers of the service that can be reached as far as is known, busy or not.
  std::ptrdiff_t CountReached(const ServiceName& service, TimePoint now) const;

  /// Whether the server can be reached as far as is known, busy or not.
  bool IsReached(const Backend& backend, TimePoint now) const;

  /// Whether no server of the zone is likely to be reached.
  bool IsLost(const ZoneName& zone, TimePoint now) const { return zone_reach_.IsLost(zone, now); }

  /// All zones of which no server is likely to be reached.
  std::set<ZoneName> LostZones(TimePoint now) const { return zone_reach_.Lost(now); }

  /// Other zones that are in use and of which nothing was heard lately.
  std::set<ZoneName> QuietZones(TimePoint now) const;

  /// Up to `count` servers of a zone, chosen at random, that have no calls in progress and are not
  /// known to be unreachable.
  std::vector<std::shared_ptr<Backend>> SomeOf(const ZoneName& zone, std::size_t count);

  /// Whether a server may be called now, and what speaks against it.
  BackendUse UseOf(const Backend& backend, TimePoint now) const;

  const std::map<BackendName, std::shared_ptr<Backend>>& all() const { return by_id_; }

  /// All servers of a service.
  const std::vector<std::shared_ptr<Backend>>& Of(const ServiceName& service) const;

  /// Null if the server is not known.
  std::shared_ptr<Backend> Find(const BackendName& id) const;

  std::size_t size() const { return by_id_.size(); }

 private:
  static bool HasTime(const Backend& backend, const CallTimes& times, TimePoint now);
  static BackendStanding StandingOf(const Backend& backend, BackendUse use, const CallTimes& times,
                                    TimePoint now);
  double CostOf(const Backend& backend, const CallTimes& times, TimePoint now);
  void ApplyPolicy(Backend& backend) const;
  double NodeColdRate(const ServicePolicy& policy) const;

  const BackendTableOptions options_;
  Random random_;
  std::shared_ptr<const RouteTable> routes_;
  int nodes_ = 1;
  std::set<ZoneName> closed_zones_;
  ZoneReach zone_reach_;
  std::map<BackendName, std::shared_ptr<Backend>> by_id_;
  std::map<ServiceName, std::vector<std::shared_ptr<Backend>>> by_service_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_TABLE_H_
