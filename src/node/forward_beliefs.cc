#include "damaskroute/node/forward_beliefs.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_join.h"
#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

// An entry that lapsed because its server was cut off is back at the first heartbeat after the cut.
// Entries lapse after three heartbeats of about a second, and cuts of up to eight seconds are
// usual.
constexpr std::chrono::seconds kLapsedReturn{6};

// With so few servers a service cannot answer in time while one of them pauses, as there is none
// for a second call.
constexpr std::ptrdiff_t kFewServers = 1;

TimePoint Now() { return SteadyClock().Now(); }

std::string Names(const std::set<ZoneName>& zones) { return absl::StrJoin(zones, " "); }

}  // namespace

ForwardBeliefs::ForwardBeliefs(asio::io_context& loop, const BackendTableOptions& options,
                               const BackendClientOptions& client_options, std::uint64_t seed)
    : backends_(options, seed),
      pool_(loop, client_options),
      prober_(loop, pool_, backends_),
      expiry_timer_(loop) {}

bool ForwardBeliefs::InstallRoutes(RoutingDocument document) {
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

void ForwardBeliefs::BeginItems(std::size_t count) {
  entry_level_ = count >= kManyItems ? LogLevel::kDebug : LogLevel::kInfo;
  entry_counts_ = {};
}

void ForwardBeliefs::EndItems() {
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

void ForwardBeliefs::OnBackend(const BackendEntry& entry) {
  DirectoryChange change = directory_.OnEntry(entry);
  if (change == DirectoryChange::kNone) return;
  if (change == DirectoryChange::kAdded) ++entry_counts_.added;
  if (change == DirectoryChange::kUpdated) ++entry_counts_.updated;
  if (change == DirectoryChange::kReplaced) ++entry_counts_.replaced;
  if (change == DirectoryChange::kReplaced) Drop(entry.id, "replaced by a new incarnation");
  backends_.Put(entry, Now());
  backends_.Find(entry.id)->leaving = leaving_.Contains(entry.id, entry.incarnation);
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

void ForwardBeliefs::OnLeaving(const std::shared_ptr<Backend>& backend) {
  if (backend->leaving) return;
  backend->leaving = true;
  leaving_.Add(backend->entry.id, backend->entry.incarnation);
  LogLine(LogLevel::kInfo, "backend server leaves")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("entry_draining", backend->entry.draining ? "yes" : "no")
      .Field("outstanding", backend->evidence.outstanding());
}

void ForwardBeliefs::OnAskedToWait(const std::shared_ptr<Backend>& backend,
                                   std::chrono::milliseconds pause) {
  if (!backends_.OnAskedToWait(*backend, pause, Now())) return;
  LogLine(LogLevel::kInfo, "backend server asks for a pause")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("pause_ms", pause.count())
      .Field("outstanding", backend->evidence.outstanding());
}

void ForwardBeliefs::OnBackendRemoved(const BackendName& id, bool after_outage) {
  DirectoryChange change = directory_.OnRemoved(id, after_outage, Now());
  if (change == DirectoryChange::kRemoved) {
    ++entry_counts_.removed;
    Drop(id, "entry removed");
  }
  if (change == DirectoryChange::kHeld) ScheduleExpiry();
}

void ForwardBeliefs::OnAllBackends(const std::set<BackendName>& present, bool after_outage) {
  for (const BackendName& id : directory_.OnAllRead(present, after_outage, Now())) {
    Drop(id, "entry missing");
  }
  ScheduleExpiry();
}

void ForwardBeliefs::Drop(const BackendName& id, const char* reason) {
  LogLine(entry_level_, "backend server gone").Field("backend", id).Field("reason", reason);
  auto backend = backends_.Find(id);
  std::erase_if(lapsed_, [](const auto& entry) { return Now() >= entry.second + kLapsedReturn; });
  if (backend && !backend->entry.draining) lapsed_.insert_or_assign(backend->entry.service, Now());
  pool_.Forget(backend.get());
  backends_.Remove(id);
}

bool ForwardBeliefs::MissesServers(TimePoint now) const {
  auto is_short = [&](const ServiceName& service) {
    return backends_.CountReached(service, now) <= kFewServers;
  };
  const auto& all = backends_.all();
  return std::any_of(lapsed_.begin(), lapsed_.end(),
                     [&](const auto& entry) {
                       return now < entry.second + kLapsedReturn && is_short(entry.first);
                     }) ||
         std::any_of(all.begin(), all.end(), [&](const auto& entry) {
           const Backend& backend = *entry.second;
           return !backends_.IsReached(backend, now) && is_short(backend.entry.service);
         });
}

void ForwardBeliefs::ScheduleExpiry() {
  TimePoint next = directory_.next_expiry();
  if (next == TimePoint::max()) return;
  expiry_timer_.expires_at(next);
  expiry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    for (const BackendName& id : directory_.Expire(Now())) Drop(id, "entry did not come back");
    ScheduleExpiry();
  });
}

void ForwardBeliefs::SetClosedZones(std::set<ZoneName> zones) {
  if (zones == backends_.closed_zones()) return;
  LogLine(LogLevel::kInfo, "zones closed").Field("zones", Names(zones));
  backends_.SetClosedZones(std::move(zones));
}

void ForwardBeliefs::NoteLostZones(TimePoint now) {
  auto lost = backends_.LostZones(now);
  if (lost == lost_zones_) return;
  LogLine(LogLevel::kWarning, "zones not reached")
      .Field("zones", Names(lost))
      .Field("before", Names(lost_zones_));
  lost_zones_ = std::move(lost);
}

void ForwardBeliefs::SetNodes(int nodes) {
  if (nodes == nodes_) return;
  LogLine(LogLevel::kInfo, "number of nodes changed").Field("nodes", nodes).Field("before", nodes_);
  nodes_ = nodes;
  backends_.SetPolicies(routes_, nodes_);
}

}  // namespace damaskroute
