#include "damaskroute/node/reach_prober.h"

#include <algorithm>

#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// A restarted server and a healed partition are noticed within about these times; the pause grows
// while the server stays away, to bound the cost of many servers at once.
constexpr milliseconds kFirstPause{80};
constexpr milliseconds kLongestPause{400};

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

struct ReachProber::Probe {
  Probe(asio::io_context& loop, std::shared_ptr<Backend> server)
      : backend(std::move(server)), timer(loop), since(Now()) {}

  std::shared_ptr<Backend> backend;
  asio::steady_timer timer;
  TimePoint since;
  milliseconds pause = kFirstPause;
};

void ReachProber::OnUnreachable(const std::shared_ptr<Backend>& backend) {
  if (backend->gone || probed_.contains(backend.get())) return;
  auto probe = std::make_shared<Probe>(loop_, backend);
  probed_.emplace(backend.get(), probe);
  LogLine(LogLevel::kInfo, "backend server not reached")
      .Field("backend", backend->entry.id)
      .Field("service", backend->entry.service)
      .Field("zone", backend->entry.zone)
      .Field("outstanding", backend->evidence.outstanding());
  Wait(probe);
}

void ReachProber::ProbeQuietZones(const std::function<void()>& on_silent) {
  for (const ZoneName& zone : backends_.QuietZones(Now())) {
    if ((*zone_probes_)[zone] == 0) ProbeZone(zone, /*servers=*/1, on_silent);
  }
}

void ReachProber::ProbeZone(const ZoneName& zone, std::size_t servers,
                            const std::function<void()>& on_silent) {
  for (const auto& backend : backends_.SomeOf(zone, servers)) {
    ++(*zone_probes_)[zone];
    auto client = pool_.For(backend);
    client->OpenConnection([this, weak = std::weak_ptr(zone_probes_), client, backend, zone,
                            servers, on_silent, begun = Now()](bool opened) {
      auto probes = weak.lock();
      if (!probes) return;
      --(*probes)[zone];
      backends_.OnProbed(*backend, begun, opened, Now());
      if (opened) return;
      OnUnreachable(backend);
      if (servers == 1) ProbeZone(zone, ZoneReach::kSilentServers, on_silent);
      on_silent();
    });
  }
}

void ReachProber::Wait(const std::shared_ptr<Probe>& probe) {
  probe->timer.expires_after(probe->pause);
  probe->pause = std::min(probe->pause * 2, kLongestPause);
  probe->timer.async_wait([this, weak = std::weak_ptr(probe)](const auto& error) {
    auto waiting = weak.lock();
    if (!error && waiting) Try(waiting);
  });
}

void ReachProber::Try(const std::shared_ptr<Probe>& probe) {
  Backend& backend = *probe->backend;
  if (backend.gone || backend.misdirected || !backend.evidence.is_unreachable()) {
    probed_.erase(&backend);
    return;
  }
  auto client = pool_.For(probe->backend);
  // The attempt may end after this object, which then owns the probe no longer.
  client->OpenConnection([this, weak = std::weak_ptr(probe), client, begun = Now()](bool opened) {
    auto probe = weak.lock();
    if (!probe) return;
    TimePoint now = Now();
    backends_.OnProbed(*probe->backend, begun, opened, now);
    if (!opened) return Wait(probe);
    probed_.erase(probe->backend.get());
    LogLine(LogLevel::kInfo, "backend server reached again")
        .Field("backend", probe->backend->entry.id)
        .Field("away_ms", std::chrono::duration_cast<milliseconds>(now - probe->since).count());
  });
}

}  // namespace damaskroute
