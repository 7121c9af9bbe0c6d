#include "damaskroute/forward/backend_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace damaskroute {
namespace {

// A server that fails every call counts as this many times slower.
constexpr double kFailureWeight = 8;

// Seconds that put an avoided server behind all others of its standing.
constexpr double kAvoidedCost = 1;

// Random spread of the expected times, so that nodes which believe the same do not all choose the
// same server. Smaller than what another zone costs.
constexpr double kSpread = 0.05;

// A call to another zone must save this part of its time, besides the constant cost.
constexpr double kZonePart = 0.1;

// Part of a server's connections that all nodes together may use; the rest covers nodes that
// joined and are not counted yet.
constexpr double kConnectionPart = 0.9;

// Calls that run at the same time may exceed a node's share of the connections: few nodes have many
// calls at one server at once, and a server only resets what it has no connection for. Connections
// that stay open keep to the share.
constexpr int kOutstandingShares = 2;
constexpr int kLeastOutstanding = 4;

bool Contains(const std::vector<std::shared_ptr<Backend>>& list, const Backend* backend) {
  return std::any_of(list.begin(), list.end(),
                     [backend](const auto& entry) { return entry.get() == backend; });
}

// Latency of one call with no other in the way.
Duration Expected(const Backend& backend, const CallTimes& times, TimePoint now) {
  return std::chrono::duration_cast<Duration>(times.usual * backend.evidence.Slowness(now));
}

double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

BackendTable::BackendTable(BackendTableOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void BackendTable::Put(const BackendEntry& entry, TimePoint now) {
  auto found = by_id_.find(entry.id);
  if (found != by_id_.end() && found->second->entry.service != entry.service) {
    Remove(entry.id);
    found = by_id_.end();
  }
  std::shared_ptr<Backend> backend;
  if (found == by_id_.end()) {
    backend = std::make_shared<Backend>();
    by_id_.emplace(entry.id, backend);
    by_service_[entry.service].push_back(backend);
  } else {
    backend = found->second;
  }
  backend->entry = entry;
  // A newer entry shows that the server lives, whoever answered at its address before.
  backend->misdirected = false;
  ApplyPolicy(*backend);
  if (entry.warmup_left.count() > 0) backend->cold.SetCold(now + entry.warmup_left);
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

double BackendTable::NodeColdRate(const ServicePolicy& policy) const {
  if (policy.cold_rate <= 0) return std::numeric_limits<double>::infinity();
  double all = policy.cold_rate * options_.cold_overshoot + options_.cold_slack;
  return std::floor(all / nodes_);
}

void BackendTable::ApplyPolicy(Backend& backend) const {
  if (!routes_) return;
  const ServicePolicy& policy = routes_->Policy(backend.entry.service);
  backend.cold.SetRate(NodeColdRate(policy));
  int connections = policy.max_connections;
  int share = std::max(1, static_cast<int>(connections * kConnectionPart / nodes_));
  backend.max_kept = share;
  backend.max_outstanding = std::max(kLeastOutstanding, share * kOutstandingShares);
}

BackendUse BackendTable::UseOf(const Backend& backend, TimePoint now) const {
  const BackendEvidence& evidence = backend.evidence;
  if (backend.misdirected) return BackendUse::kMisdirected;
  if (backend.entry.draining || backend.leaving) return BackendUse::kDraining;
  if (closed_zones_.contains(backend.entry.zone)) return BackendUse::kClosedZone;
  if (now < backend.quiet_until) return BackendUse::kAskedToWait;
  if (evidence.outstanding() >= backend.max_outstanding) return BackendUse::kBusy;
  if (!backend.cold.Allows(now)) return BackendUse::kColdLimit;
  if (!evidence.HasRoom()) return BackendUse::kNoRoom;
  if (evidence.IsUnreachable(now) || IsLost(backend.entry.zone, now)) {
    return BackendUse::kUnreachable;
  }
  if (evidence.IsStalled(now)) return BackendUse::kStalled;
  if (evidence.IsAvoided(now)) return BackendUse::kAvoided;
  return backend.cold.IsCold(now) ? BackendUse::kCold : BackendUse::kGood;
}

// Whether the calls that wait for a server leave time for another one.
bool BackendTable::HasTime(const Backend& backend, const CallTimes& times, TimePoint now) {
  int waiting = backend.evidence.outstanding() / std::max(backend.entry.slots, 1);
  return now + waiting * Expected(backend, times, now) < times.deadline;
}

BackendStanding BackendTable::StandingOf(const Backend& backend, BackendUse use,
                                         const CallTimes& times, TimePoint now) {
  if (use == BackendUse::kUnreachable) return BackendStanding::kUnreachable;
  if (now + Expected(backend, times, now) > times.wanted) return BackendStanding::kTooSlow;
  return use == BackendUse::kGood ? BackendStanding::kGood : BackendStanding::kDoubtful;
}

double BackendTable::CostOf(const Backend& backend, const CallTimes& times, TimePoint now) {
  const BackendEvidence& evidence = backend.evidence;
  double load = 1.0 + static_cast<double>(evidence.outstanding()) /
                          static_cast<double>(std::max(backend.entry.slots, 1));
  double cost = Seconds(Expected(backend, times, now)) * load *
                (1 + kFailureWeight * evidence.FailureRate(now)) * (1 + kSpread * random_.Unit());
  if (backend.entry.zone != options_.own_zone) {
    cost += cost * kZonePart + Seconds(options_.zone_cost);
  }
  if (evidence.IsAvoided(now)) cost += kAvoidedCost;
  return cost;
}

BackendChoice BackendTable::Choose(const ServiceName& service,
                                   const std::vector<std::shared_ptr<Backend>>& tried,
                                   const CallTimes& times, TimePoint now) {
  BackendChoice best;
  double best_cost = 0;
  for (const auto& server : Of(service)) {
    if (Contains(tried, server.get())) continue;
    BackendUse use = UseOf(*server, now);
    if (!MayBeCalled(use) || !HasTime(*server, times, now)) continue;
    BackendStanding standing = StandingOf(*server, use, times, now);
    double cost = CostOf(*server, times, now);
    if (!best.backend || standing < best.standing ||
        (standing == best.standing && cost < best_cost)) {
      best = {server, standing};
      best_cost = cost;
    }
  }
  return best;
}

void BackendTable::OnCallEnded(Backend& backend, TimePoint sent, EvidenceOf kind, Duration usual,
                               TimePoint now) {
  backend.evidence.OnEnded(sent, kind, usual, now);
  const ZoneName& zone = backend.entry.zone;
  if (kind == EvidenceOf::kUnreachable) {
    zone_reach_.OnNoConnection(zone, backend.entry.id, sent, now);
  } else if (kind == EvidenceOf::kAnswer || kind == EvidenceOf::kShed) {
    zone_reach_.OnHeard(zone, now);
  }
}

bool BackendTable::OnAskedToWait(Backend& backend, std::chrono::milliseconds pause, TimePoint now) {
  bool was_waiting = now < backend.quiet_until;
  backend.quiet_until = std::max<TimePoint>(backend.quiet_until, now + pause);
  return !was_waiting && now < backend.quiet_until;
}

TimePoint BackendTable::ReturnOf(const ServiceName& service, TimePoint now) const {
  TimePoint first = TimePoint::max();
  for (const auto& server : Of(service)) {
    if (UseOf(*server, now) == BackendUse::kAskedToWait) {
      first = std::min(first, server->quiet_until);
    }
  }
  return first;
}

void BackendTable::OnProbed(Backend& backend, TimePoint begun, bool opened, TimePoint now) {
  if (!opened) {
    backend.evidence.OnNotReached(now);
    return zone_reach_.OnNoConnection(backend.entry.zone, backend.entry.id, begun, now);
  }
  backend.evidence.OnReachable(now);
  zone_reach_.OnHeard(backend.entry.zone, now);
}

bool BackendTable::IsReached(const Backend& backend, TimePoint now) const {
  return !backend.misdirected && !backend.evidence.is_unreachable() &&
         !closed_zones_.contains(backend.entry.zone) && !IsLost(backend.entry.zone, now);
}

std::set<ZoneName> BackendTable::QuietZones(TimePoint now) const {
  std::set<ZoneName> quiet;
  std::set<ZoneName> decided = {options_.own_zone};  // There are few zones and many servers.
  for (const auto& [id, backend] : by_id_) {
    const ZoneName& zone = backend->entry.zone;
    if (decided.contains(zone)) continue;
    bool is_quiet = zone_reach_.IsQuiet(zone, now);
    if (is_quiet && !IsReached(*backend, now)) continue;  // Another server of it may be reached.
    if (is_quiet) quiet.insert(zone);
    decided.insert(zone);
  }
  return quiet;
}

std::vector<std::shared_ptr<Backend>> BackendTable::SomeOf(const ZoneName& zone,
                                                           std::size_t count) {
  std::vector<std::shared_ptr<Backend>> chosen;
  std::size_t seen = 0;
  for (const auto& [id, backend] : by_id_) {
    if (backend->entry.zone != zone || backend->misdirected) continue;
    if (backend->evidence.is_unreachable() || backend->evidence.outstanding() > 0) continue;
    ++seen;
    if (chosen.size() < count) {
      chosen.push_back(backend);
    } else if (std::size_t place = random_.Below(seen); place < count) {
      chosen[place] = backend;  // Reservoir sampling.
    }
  }
  return chosen;
}

std::ptrdiff_t BackendTable::CountReached(const ServiceName& service, TimePoint now) const {
  const auto& servers = Of(service);
  return std::count_if(servers.begin(), servers.end(),
                       [&](const auto& server) { return IsReached(*server, now); });
}

const std::vector<std::shared_ptr<Backend>>& BackendTable::Of(const ServiceName& service) const {
  static const auto* const none = new std::vector<std::shared_ptr<Backend>>();
  auto found = by_service_.find(service);
  return found == by_service_.end() ? *none : found->second;
}

std::shared_ptr<Backend> BackendTable::Find(const BackendName& id) const {
  auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

}  // namespace damaskroute
