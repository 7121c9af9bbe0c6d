#include "damaskroute/node/forwarding_state.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_join.h"
#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

// How long the return of an expired entry is awaited. An entry that expired because of a network
// partition returns with the server's first heartbeat after the partition. Entries expire after
// three missed heartbeats of about one second each, and partitions commonly last up to eight
// seconds.
constexpr std::chrono::seconds kExpiredEntryReturnTime{6};

// With at most this many servers a service cannot answer in time while one of them stalls, as there
// is no other server for a hedged call.
constexpr std::ptrdiff_t kMaxServersWithoutHedge = 1;

TimePoint Now() { return SteadyClock().Now(); }

std::string JoinNames(const std::set<ZoneName>& zones) { return absl::StrJoin(zones, " "); }

}  // namespace

ForwardingState::ForwardingState(asio::io_context& loop, const BackendTableOptions& options,
                                 const BackendClientOptions& client_options, std::uint64_t seed)
    : backends_(options, seed),
      pool_(loop, client_options),
      prober_(loop, pool_, backends_),
      expiry_timer_(loop),
      zones_timer_(loop) {}

bool ForwardingState::InstallRoutes(RoutingDocument document) {
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

void ForwardingState::BeginBatch(std::size_t count) {
  entry_level_ = count >= kMinSummarizedBatch ? LogLevel::kDebug : LogLevel::kInfo;
  entry_counts_ = {};
}

void ForwardingState::EndBatch() {
  const EntryCounts& counts = entry_counts_;
  if (entry_level_ == LogLevel::kDebug) {
    LogLine(LogLevel::kInfo, "backend servers changed")
        .Field("added", counts.added)
        .Field("updated", counts.updated)
        .Field("replaced", counts.replaced)
        .Field("removed", counts.removed)
        .Field("known", backends_.size());
  }
  entry_level_ = LogLevel::kInfo;
}

void ForwardingState::OnBackend(const BackendEntry& entry) {
  DirectoryChange change = directory_.OnEntry(entry, Now());
  if (change == DirectoryChange::kNone) return;
  if (change == DirectoryChange::kDelayed) {
    LogLine(LogLevel::kInfo, "entry of a removed backend server not used yet")
        .Field("backend", entry.id)
        .Field("sequence", entry.sequence);
    return ScheduleExpiry();
  }
  if (change == DirectoryChange::kAdded) ++entry_counts_.added;
  if (change == DirectoryChange::kUpdated) ++entry_counts_.updated;
  if (change == DirectoryChange::kReplaced) ++entry_counts_.replaced;
  std::shared_ptr<Backend> replaced;
  if (change == DirectoryChange::kReplaced) {
    replaced = RemoveBackend(entry.id, "replaced by a new incarnation");
  }
  backends_.Put(entry, Now(), replaced.get());
  LogLine(entry_level_, "backend server known")
      .Field("backend", entry.id)
      .Field("service", entry.service)
      .Field("endpoint", FormatEndpoint(entry.endpoint))
      .Field("zone", entry.zone)
      .Field("draining", entry.draining ? "yes" : "no")
      .Field("warmup_left_ms", entry.warmup_left.count())
      .Field("sequence", entry.sequence)
      .Field("new", change == DirectoryChange::kUpdated ? "no" : "yes");
}

void ForwardingState::OnLeaving(const std::shared_ptr<Backend>& called) {
  auto backend = backends_.RetainReport(called);
  if (backend->leaving) return;
  backend->leaving = true;
  LogLine(LogLevel::kInfo, "backend server leaves")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("entry_draining", backend->entry.draining ? "yes" : "no")
      .Field("outstanding", backend->call_stats.outstanding());
}

void ForwardingState::OnBackoffRequested(const std::shared_ptr<Backend>& called,
                                         std::chrono::milliseconds backoff) {
  auto backend = backends_.RetainReport(called);
  if (!backends_.OnBackoffRequested(*backend, backoff, Now())) return;
  LogLine(LogLevel::kInfo, "backend server asks for a pause")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("pause_ms", backoff.count())
      .Field("outstanding", backend->call_stats.outstanding());
}

void ForwardingState::OnRateLimit(const std::shared_ptr<Backend>& called,
                                  std::optional<double> rate_limit, TimePoint sent) {
  bool unchanged = !rate_limit && !called->gone && !called->rate_limit.rate();
  if (unchanged) return;  // The common case, which needs no search.
  auto backend = rate_limit ? backends_.RetainReport(called) : backends_.Current(called);
  BackendRateLimit& limit = backend->rate_limit;
  TimePoint now = Now();
  std::size_t calls = limit.CallsInWindow(now);
  bool began_or_ended =
      rate_limit ? backends_.OnRateStated(*backend, *rate_limit, now) : limit.OnNotStated(sent);
  if (!began_or_ended && !(limit.rate() && limit.IsReportDue(now))) return;
  LogLine(LogLevel::kInfo,
          limit.rate() ? "backend server limits its requests" : "backend server has no limit now")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("per_s", limit.rate().value_or(0))
      .Field("nodes", nodes_)
      .Field("calls", calls)
      .Field("window_ms", std::chrono::milliseconds(BackendRateLimit::kWindow).count());
}

void ForwardingState::OnBackendRemoved(const BackendName& id, bool after_outage) {
  DirectoryChange change = directory_.OnRemoved(id, after_outage, Now());
  if (change == DirectoryChange::kRemoved) {
    ++entry_counts_.removed;
    RemoveBackend(id, "entry removed");
  }
  if (change == DirectoryChange::kRetained) ScheduleExpiry();
}

void ForwardingState::OnAllBackends(const std::set<BackendName>& present, bool after_outage) {
  for (const BackendName& id : directory_.OnAllRead(present, after_outage, Now())) {
    RemoveBackend(id, "entry missing");
  }
  ScheduleExpiry();
}

std::shared_ptr<Backend> ForwardingState::RemoveBackend(const BackendName& id, const char* reason) {
  LogLine(entry_level_, "backend server gone").Field("backend", id).Field("reason", reason);
  auto backend = backends_.Find(id);
  std::erase_if(expired_at_,
                [](const auto& entry) { return Now() >= entry.second + kExpiredEntryReturnTime; });
  if (backend && !backend->entry.draining) {
    expired_at_.insert_or_assign(backend->entry.service, Now());
  }
  pool_.Forget(backend.get());
  backends_.Remove(id);
  return backend;
}

bool ForwardingState::ExpectsReturningServers(TimePoint now) const {
  auto lacks_hedge_server = [&](const ServiceName& service) {
    return backends_.CountReachable(service, now) <= kMaxServersWithoutHedge;
  };
  const auto& all = backends_.all();
  return std::any_of(expired_at_.begin(), expired_at_.end(),
                     [&](const auto& entry) {
                       return now < entry.second + kExpiredEntryReturnTime &&
                              lacks_hedge_server(entry.first);
                     }) ||
         std::any_of(all.begin(), all.end(), [&](const auto& entry) {
           const Backend& backend = *entry.second;
           return !backends_.IsReachable(backend, now) && lacks_hedge_server(backend.entry.service);
         });
}

void ForwardingState::ScheduleExpiry() {
  TimePoint next = directory_.next_expiry();
  if (next == TimePoint::max()) return;
  expiry_timer_.expires_at(next);
  expiry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    for (const BackendName& id : directory_.Expire(Now())) {
      RemoveBackend(id, "entry did not come back");
    }
    for (const BackendEntry& entry : directory_.TakeReturned(Now())) OnBackend(entry);
    ScheduleExpiry();
  });
}

void ForwardingState::OnStoreRestored() {
  directory_.OnStoreRestored();
  closed_zones_.OnStoreRestored();
}

void ForwardingState::OnZoneClosed(const ZoneName& zone, std::uint64_t revision) {
  closed_zones_.OnClosed(zone, revision, Now());
  ApplyClosedZones();
}

void ForwardingState::OnZoneOpened(const ZoneName& zone) {
  closed_zones_.OnOpened(zone);
  ApplyClosedZones();
}

void ForwardingState::OnAllClosedZones(const std::set<ZoneName>& present) {
  closed_zones_.OnAllRead(present, Now());
  ApplyClosedZones();
}

void ForwardingState::ApplyClosedZones() {
  TimePoint now = Now();
  if (TimePoint next = closed_zones_.next_change(now); next != TimePoint::max()) {
    zones_timer_.expires_at(next);
    zones_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) ApplyClosedZones();
    });
  }
  auto zones = closed_zones_.Closed(now);
  if (zones == backends_.closed_zones()) return;
  LogLine(LogLevel::kInfo, "zones closed").Field("zones", JoinNames(zones));
  backends_.SetClosedZones(std::move(zones));
}

void ForwardingState::LogUnreachableZones(TimePoint now) {
  auto unreachable = backends_.UnreachableZones(now);
  if (unreachable == logged_unreachable_zones_) return;
  LogLine(LogLevel::kWarning, "zones not reached")
      .Field("zones", JoinNames(unreachable))
      .Field("before", JoinNames(logged_unreachable_zones_));
  logged_unreachable_zones_ = std::move(unreachable);
}

void ForwardingState::SetNodes(int nodes) {
  if (nodes == nodes_) return;
  LogLine(LogLevel::kInfo, "number of nodes changed").Field("nodes", nodes).Field("before", nodes_);
  nodes_ = nodes;
  backends_.SetPolicies(routes_, nodes_);
}

}  // namespace damaskroute
