#include "damaskroute/forward/backend_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "damaskroute/core/hash.h"
#include "damaskroute/forward/node_share.h"

namespace damaskroute {
namespace {

// Relative cost added for a server that fails every call.
constexpr double kFailureCostFactor = 8;

// Cost in seconds that places an avoided server behind all others of its rank.
constexpr double kAvoidedCostSeconds = 1;

// Factor of the cost of a server that states a rate limit, so that calls prefer other servers while
// these are not busy.
constexpr double kRateLimitedCostFactor = 2;

// Maximum time to wait for this node's share of a rate limit. Sooner than that, a retry that
// reaches another node may find that node's share unused.
constexpr std::chrono::milliseconds kMaxShareWait{200};

// Limits of cold servers above this, in calls per second, have no effect.
constexpr double kMaxColdRate = 1e6;

// Relative random spread of the cost, so that nodes with the same view do not all choose the same
// server. Smaller than the cost of another zone.
constexpr double kCostSpread = 0.05;

// Below this ratio to the mean latency servers count as equally fast, as a server without a call
// does: the latency of a server is the average of about ten calls that vary. Otherwise the least of
// the averages would get all calls that come one at a time, and a new server none.
constexpr double kMinSlowness = 1.2;

// Fraction of its latency that a call to another zone must save, besides the constant cost.
constexpr double kZoneCostFraction = 0.1;

// Fraction of a server's connections that all nodes together may use; the rest covers nodes that
// joined and are not counted yet.
constexpr double kConnectionFraction = 0.9;

// Concurrent calls may exceed a node's share of the connections by this factor: few nodes have many
// calls to one server at once, and a server only resets connections above its limit. Idle
// connections stay within the share.
constexpr int kOutstandingPerShare = 2;
constexpr int kMinOutstanding = 4;

bool Contains(const std::vector<std::shared_ptr<Backend>>& list, const Backend* backend) {
  return std::any_of(list.begin(), list.end(),
                     [backend](const auto& entry) { return entry.get() == backend; });
}

// Expected latency of a call to an idle server.
Duration ExpectedLatency(const Backend& backend, const CallTimes& times, TimePoint now) {
  return std::chrono::duration_cast<Duration>(times.mean_latency *
                                              backend.call_stats.Slowness(now));
}

// Maps a hash to [0, 1).
double Fraction(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }

double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

BackendTable::BackendTable(BackendTableOptions options, std::uint64_t seed)
    : options_(std::move(options)), seed_(seed), random_(seed) {}

void BackendTable::Put(const BackendEntry& entry, TimePoint now, const Backend* replaces) {
  auto found = by_id_.find(entry.id);
  if (found != by_id_.end() && found->second->entry.service != entry.service) {
    Remove(entry.id);
    found = by_id_.end();
  }
  std::shared_ptr<Backend> backend;
  if (found == by_id_.end()) {
    backend = MakeBackend(entry);
    by_id_.emplace(entry.id, backend);
    by_service_[entry.service].push_back(backend);
  } else {
    backend = found->second;
  }
  backend->entry = entry;
  // A newer entry shows that the server runs, whichever server responded at its address before.
  backend->misdirected = false;
  backend->may_have_restarted = false;
  if (replaces != nullptr) backend->cold.CountCallsOf(replaces->cold);
  ApplyPolicy(*backend);
  if (entry.warmup_left.count() > 0) backend->cold.SetCold(now + entry.warmup_left);
}

std::shared_ptr<Backend> BackendTable::MakeBackend(const BackendEntry& entry) const {
  if (auto backend = reporting_.Find(entry.id, entry.incarnation)) {
    backend->gone = false;
    backend->call_stats = BackendCallStats();
    return backend;
  }
  auto backend = std::make_shared<Backend>();
  backend->rate_limit = BackendRateLimit(Fraction(Hash64(entry.id, seed_)));
  return backend;
}

void BackendTable::Remove(const BackendName& id) {
  auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  std::shared_ptr<Backend> backend = found->second;
  backend->gone = true;
  by_id_.erase(found);
  auto& servers = by_service_[backend->entry.service];
  std::erase(servers, backend);
  if (servers.empty()) by_service_.erase(backend->entry.service);
}

void BackendTable::SetPolicies(std::shared_ptr<const RouteTable> routes, int nodes) {
  routes_ = std::move(routes);
  nodes_ = std::max(nodes, 1);
  for (auto& [id, backend] : by_id_) ApplyPolicy(*backend);
}

void BackendTable::SetNodeNames(std::vector<NodeName> names) {
  if (names == node_names_) return;
  node_names_ = std::move(names);
  for (auto& [id, backend] : by_id_) ApplyPolicy(*backend);
}

// Number of nodes that precede this one in the order of the nodes for the server.
int BackendTable::PositionFor(const Backend& backend) const {
  const BackendName& id = backend.entry.id;
  std::uint64_t own = RendezvousWeight(id, options_.local_node);
  return static_cast<int>(
      std::count_if(node_names_.begin(), node_names_.end(),
                    [&](const NodeName& node) { return RendezvousWeight(id, node) > own; }));
}

bool BackendTable::OnRateStated(Backend& backend, double rate, TimePoint now) {
  bool begins = backend.rate_limit.OnStated(rate, now);
  if (begins) backend.rate_limit.SetPosition(PositionFor(backend));
  return begins;
}

double BackendTable::NodeColdRate(const Backend& backend, const ServicePolicy& policy) const {
  if (policy.cold_rate <= 0) return std::numeric_limits<double>::infinity();
  double all = policy.cold_rate * options_.cold_overshoot + options_.cold_slack;
  // The position takes time to compute and only matters for cold servers.
  bool may_be_cold = backend.entry.warmup_left.count() > 0 || backend.may_have_restarted;
  int position = may_be_cold ? PositionFor(backend) : nodes_;
  return NodeShare(static_cast<int>(std::min(all, kMaxColdRate)), nodes_, position);
}

void BackendTable::ApplyPolicy(Backend& backend) const {
  backend.rate_limit.SetNodes(nodes_);
  if (backend.rate_limit.rate()) backend.rate_limit.SetPosition(PositionFor(backend));
  if (!routes_) return;
  const ServicePolicy& policy = routes_->Policy(backend.entry.service);
  backend.cold.SetRate(NodeColdRate(backend, policy));
  int connections = policy.max_connections;
  int share = std::max(1, static_cast<int>(connections * kConnectionFraction / nodes_));
  backend.max_idle_connections = share;
  backend.max_outstanding = std::max(kMinOutstanding, share * kOutstandingPerShare);
}

BackendEligibility BackendTable::EligibilityOf(const Backend& backend, TimePoint now) const {
  const BackendCallStats& call_stats = backend.call_stats;
  if (backend.misdirected) return BackendEligibility::kMisdirected;
  if (backend.entry.draining || backend.leaving) return BackendEligibility::kDraining;
  if (closed_zones_.contains(backend.entry.zone)) return BackendEligibility::kClosedZone;
  if (!AllowsVersion(backend, now)) return BackendEligibility::kOtherVersion;
  if (now < backend.backoff_until) return BackendEligibility::kBackoffRequested;
  if (call_stats.outstanding() >= backend.max_outstanding) return BackendEligibility::kBusy;
  if (!backend.cold.Allows(now)) return BackendEligibility::kColdLimit;
  if (!backend.rate_limit.Allows(now)) return BackendEligibility::kRateLimit;
  if (!call_stats.HasCapacity()) return BackendEligibility::kNoCapacity;
  if (call_stats.IsUnreachable(now) || IsZoneUnreachable(backend.entry.zone, now)) {
    return BackendEligibility::kUnreachable;
  }
  if (call_stats.IsStalled(now)) return BackendEligibility::kStalled;
  if (call_stats.IsAvoided(now)) return BackendEligibility::kAvoided;
  return backend.cold.IsCold(now) ? BackendEligibility::kCold : BackendEligibility::kGood;
}

bool BackendTable::AllowsCall(const Backend& backend, const CallTimes& times, TimePoint now) {
  return (!times.hedge || backend.rate_limit.AllowsHedge(now)) && HasTime(backend, times, now);
}

// Whether another call can end before the deadline, behind those that wait for the server.
bool BackendTable::HasTime(const Backend& backend, const CallTimes& times, TimePoint now) {
  int waiting = backend.call_stats.outstanding() / std::max(backend.entry.slots, 1);
  return now + waiting * ExpectedLatency(backend, times, now) < times.deadline;
}

BackendRank BackendTable::RankOf(const Backend& backend, BackendEligibility eligibility,
                                 const CallTimes& times, TimePoint now) {
  if (eligibility == BackendEligibility::kUnreachable) return BackendRank::kUnreachable;
  if (now + ExpectedLatency(backend, times, now) > times.answer_by) return BackendRank::kTooSlow;
  return eligibility == BackendEligibility::kGood ? BackendRank::kGood : BackendRank::kDegraded;
}

double BackendTable::CostOf(const Backend& backend, const CallTimes& times, TimePoint now) {
  const BackendCallStats& call_stats = backend.call_stats;
  double load = 1.0 + static_cast<double>(call_stats.outstanding()) /
                          static_cast<double>(std::max(backend.entry.slots, 1));
  double slowness = call_stats.Slowness(now);
  if (slowness < kMinSlowness) slowness = 1;
  double cost = Seconds(times.mean_latency) * slowness * load *
                (1 + kFailureCostFactor * call_stats.FailureRate(now)) *
                (1 + kCostSpread * random_.NextDouble());
  if (backend.entry.zone != options_.local_zone) {
    cost += cost * kZoneCostFraction + Seconds(options_.zone_cost);
  }
  if (backend.rate_limit.rate()) cost *= kRateLimitedCostFactor;
  if (call_stats.IsAvoided(now)) cost += kAvoidedCostSeconds;
  return cost;
}

BackendChoice BackendTable::Choose(const ServiceName& service,
                                   const std::vector<std::shared_ptr<Backend>>& tried,
                                   const CallTimes& times, TimePoint now) {
  if (version_gate_ != nullptr) {
    bool repeated = times.hedge || !tried.empty();
    VersionPreference versions = version_gate_->PreferenceFor(service, repeated, now);
    if (versions.version != nullptr) {
      BackendChoice choice = ChooseAmong(service, tried, times, versions, now);
      if (choice.backend && choice.rank < BackendRank::kUnreachable) return choice;
    }
  }
  return ChooseAmong(service, tried, times, {}, now);
}

BackendChoice BackendTable::ChooseAmong(const ServiceName& service,
                                        const std::vector<std::shared_ptr<Backend>>& tried,
                                        const CallTimes& times, const VersionPreference& versions,
                                        TimePoint now) {
  BackendChoice best;
  double best_cost = 0;
  for (const auto& server : ServersOf(service)) {
    if (Contains(tried, server.get())) continue;
    if (!versions.IsPreferred(server->entry.version)) continue;
    BackendEligibility eligibility = EligibilityOf(*server, now);
    if (!IsEligible(eligibility) || !AllowsCall(*server, times, now)) continue;
    BackendRank rank = RankOf(*server, eligibility, times, now);
    double cost = CostOf(*server, times, now);
    if (!best.backend || rank < best.rank || (rank == best.rank && cost < best_cost)) {
      best = {server, rank};
      best_cost = cost;
    }
  }
  return best;
}

void BackendTable::OnCallEnded(Backend& backend, TimePoint sent, CallObservation observation,
                               Duration mean_latency, TimePoint now) {
  backend.call_stats.OnEnded(sent, observation, mean_latency, now);
  const ZoneName& zone = backend.entry.zone;
  if (observation == CallObservation::kUnreachable) {
    OnMayHaveRestarted(backend, now);
    zone_reachability_.OnNoConnection(zone, backend.entry.id, sent, now);
  } else if (observation == CallObservation::kAnswer || observation == CallObservation::kShed) {
    zone_reachability_.OnContact(zone, now);
  }
}

std::shared_ptr<Backend> BackendTable::Current(const std::shared_ptr<Backend>& called) const {
  auto known = Find(called->entry.id);
  return known && known->entry.incarnation == called->entry.incarnation ? known : called;
}

std::shared_ptr<Backend> BackendTable::RetainReport(const std::shared_ptr<Backend>& called) {
  auto known = Find(called->entry.id);
  bool replaced = known && known->entry.incarnation != called->entry.incarnation;
  if (replaced) return called;
  auto current = known ? known : called;
  reporting_.Add(current);
  return current;
}

bool BackendTable::OnBackoffRequested(Backend& backend, std::chrono::milliseconds backoff,
                                      TimePoint now) {
  bool had_backoff = now < backend.backoff_until;
  backend.backoff_until = std::max<TimePoint>(backend.backoff_until, now + backoff);
  return !had_backoff && now < backend.backoff_until;
}

TimePoint BackendTable::AcceptsAgainAt(const ServiceName& service, TimePoint now) const {
  TimePoint first = TimePoint::max();
  for (const auto& server : ServersOf(service)) {
    BackendEligibility eligibility = EligibilityOf(*server, now);
    if (eligibility == BackendEligibility::kBackoffRequested) {
      first = std::min(first, server->backoff_until);
    } else if (eligibility == BackendEligibility::kRateLimit) {
      first = std::min({first, server->rate_limit.AllowedAt(now), now + kMaxShareWait});
    }
  }
  return first;
}

// A server that restarts under its id is cold before its new entry is known.
void BackendTable::OnMayHaveRestarted(Backend& backend, TimePoint now) {
  if (!routes_ || routes_->Policy(backend.entry.service).cold_rate <= 0) return;
  backend.cold.ExtendCold(now + options_.entry_bound);
  if (std::exchange(backend.may_have_restarted, true)) return;
  ApplyPolicy(backend);
}

void BackendTable::OnProbed(Backend& backend, TimePoint begun, bool opened, TimePoint now) {
  if (!opened || backend.call_stats.is_unreachable()) OnMayHaveRestarted(backend, now);
  if (!opened) {
    backend.call_stats.OnConnectFailure(now);
    return zone_reachability_.OnNoConnection(backend.entry.zone, backend.entry.id, begun, now);
  }
  backend.call_stats.OnReachable(now);
  zone_reachability_.OnContact(backend.entry.zone, now);
}

bool BackendTable::IsReachable(const Backend& backend, TimePoint now) const {
  return !backend.misdirected && !backend.call_stats.is_unreachable() &&
         !closed_zones_.contains(backend.entry.zone) && !IsZoneUnreachable(backend.entry.zone, now);
}

std::set<ZoneName> BackendTable::ZonesWithoutRecentContact(TimePoint now) const {
  std::set<ZoneName> without_contact;
  std::set<ZoneName> decided = {
      options_.local_zone};  // Decides once per zone: there are many servers.
  for (const auto& [id, backend] : by_id_) {
    const ZoneName& zone = backend->entry.zone;
    if (decided.contains(zone)) continue;
    bool no_contact = zone_reachability_.HasNoRecentContact(zone, now);
    if (no_contact && !IsReachable(*backend, now)) continue;  // Try the other servers of the zone.
    if (no_contact) without_contact.insert(zone);
    decided.insert(zone);
  }
  return without_contact;
}

std::vector<std::shared_ptr<Backend>> BackendTable::SampleIdleServers(const ZoneName& zone,
                                                                      std::size_t count) {
  std::vector<std::shared_ptr<Backend>> chosen;
  std::size_t seen = 0;
  for (const auto& [id, backend] : by_id_) {
    if (backend->entry.zone != zone || backend->misdirected) continue;
    if (backend->call_stats.is_unreachable() || backend->call_stats.outstanding() > 0) continue;
    ++seen;
    if (chosen.size() < count) {
      chosen.push_back(backend);
    } else if (std::size_t place = random_.Below(seen); place < count) {
      chosen[place] = backend;  // Reservoir sampling.
    }
  }
  return chosen;
}

std::ptrdiff_t BackendTable::CountReachable(const ServiceName& service, TimePoint now) const {
  const auto& servers = ServersOf(service);
  return std::count_if(servers.begin(), servers.end(), [&](const auto& server) {
    return IsReachable(*server, now) && AllowsVersion(*server, now);
  });
}

const std::vector<std::shared_ptr<Backend>>& BackendTable::ServersOf(
    const ServiceName& service) const {
  static const auto* const none = new std::vector<std::shared_ptr<Backend>>();
  auto found = by_service_.find(service);
  return found == by_service_.end() ? *none : found->second;
}

std::shared_ptr<Backend> BackendTable::Find(const BackendName& id) const {
  auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

std::size_t BackendTable::CountRateLimited() const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(),
                    [](const auto& entry) { return entry.second->rate_limit.rate().has_value(); }));
}

}  // namespace damaskroute
