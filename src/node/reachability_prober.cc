#include "damaskroute/node/reachability_prober.h"

#include <algorithm>

#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Delays between attempts. They bound the time until a restarted server or a healed partition is
// noticed. The delay grows while the server is unreachable, which bounds the cost of probing many
// servers at once.
constexpr milliseconds kInitialRetryDelay{80};
constexpr milliseconds kMaxRetryDelay{400};

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

struct ReachabilityProber::Probe {
  Probe(asio::io_context& loop, std::shared_ptr<Backend> server)
      : backend(std::move(server)), timer(loop), since(Now()) {}

  std::shared_ptr<Backend> backend;
  asio::steady_timer timer;
  TimePoint since;
  milliseconds retry_delay = kInitialRetryDelay;
};

void ReachabilityProber::OnUnreachable(const std::shared_ptr<Backend>& backend) {
  if (backend->gone || probed_.contains(backend.get())) return;
  auto probe = std::make_shared<Probe>(loop_, backend);
  probed_.emplace(backend.get(), probe);
  LogLine(LogLevel::kInfo, "backend server not reached")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("zone", backend->entry.zone)
      .Field("outstanding", backend->call_stats.outstanding());
  ScheduleAttempt(probe);
}

void ReachabilityProber::ProbeZonesWithoutContact(const std::function<void()>& on_unresponsive) {
  for (const ZoneName& zone : backends_.ZonesWithoutRecentContact(Now())) {
    if ((*zone_probes_)[zone] == 0) ProbeZone(zone, /*servers=*/1, on_unresponsive);
  }
}

void ReachabilityProber::ProbeZone(const ZoneName& zone, std::size_t servers,
                                   const std::function<void()>& on_unresponsive) {
  for (const auto& backend : backends_.SampleIdleServers(zone, servers)) {
    ++(*zone_probes_)[zone];
    auto client = pool_.ClientFor(backend);
    client->OpenConnection([this, weak = std::weak_ptr(zone_probes_), client, backend, zone,
                            servers, on_unresponsive, started = Now()](bool opened) {
      auto probes = weak.lock();
      if (!probes) return;
      --(*probes)[zone];
      backends_.OnProbed(*backend, started, opened, Now());
      if (opened) return;
      OnUnreachable(backend);
      if (servers == 1) ProbeZone(zone, ZoneReachability::kMinUnresponsiveServers, on_unresponsive);
      on_unresponsive();
    });
  }
}

void ReachabilityProber::ScheduleAttempt(const std::shared_ptr<Probe>& probe) {
  probe->timer.expires_after(probe->retry_delay);
  probe->retry_delay = std::min(probe->retry_delay * 2, kMaxRetryDelay);
  probe->timer.async_wait([this, weak = std::weak_ptr(probe)](const auto& error) {
    auto waiting = weak.lock();
    if (!error && waiting) Attempt(waiting);
  });
}

void ReachabilityProber::Attempt(const std::shared_ptr<Probe>& probe) {
  Backend& backend = *probe->backend;
  if (backend.gone || backend.misdirected || !backend.call_stats.is_unreachable()) {
    probed_.erase(&backend);
    return;
  }
  auto client = pool_.ClientFor(probe->backend);
  // The attempt may finish after this object was destroyed; the weak pointer detects this.
  client->OpenConnection([this, weak = std::weak_ptr(probe), client, started = Now()](bool opened) {
    auto probe = weak.lock();
    if (!probe) return;
    TimePoint now = Now();
    backends_.OnProbed(*probe->backend, started, opened, now);
    if (!opened) return ScheduleAttempt(probe);
    probed_.erase(probe->backend.get());
    LogLine(LogLevel::kInfo, "backend server reached again")
        .Field("backend", probe->backend->entry.id)
        .Field("away_ms", std::chrono::duration_cast<milliseconds>(now - probe->since).count());
  });
}

}  // namespace damaskroute
