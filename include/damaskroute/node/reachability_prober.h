#ifndef DAMASKROUTE_NODE_REACHABILITY_PROBER_H_
#define DAMASKROUTE_NODE_REACHABILITY_PROBER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/node/backend_pool.h"

namespace damaskroute {

/// Tries in the background to connect to unreachable servers, so that they are used again as soon
/// as possible and no caller's request is spent on the attempt. Sends no request; the connection is
/// kept for the next call.
class ReachabilityProber {
 public:
  /// Reports the results of the probes to `backends`.
  ReachabilityProber(asio::io_context& loop, BackendPool& pool, BackendTable& backends)
      : loop_(loop), pool_(pool), backends_(backends) {}

  /// Starts to probe a server to which a call could not connect. Has no effect while the server is
  /// being probed.
  void OnUnreachable(const std::shared_ptr<Backend>& backend);

  /// Probes one server of each zone without recent contact, and several more if it is unresponsive.
  /// A node without queries detects in this way that it is isolated before a caller's request
  /// fails. Unresponsive servers are probed further like those that calls could not reach.
  /// `on_unresponsive` is called after each unsuccessful probe.
  void ProbeZonesWithoutContact(const std::function<void()>& on_unresponsive);

  /// Number of unreachable servers being probed.
  std::size_t size() const { return probed_.size(); }

 private:
  struct Probe;

  void ProbeZone(const ZoneName& zone, std::size_t servers,
                 const std::function<void()>& on_unresponsive);

  void ScheduleAttempt(const std::shared_ptr<Probe>& probe);
  void Attempt(const std::shared_ptr<Probe>& probe);

  asio::io_context& loop_;
  BackendPool& pool_;
  BackendTable& backends_;
  std::map<const Backend*, std::shared_ptr<Probe>> probed_;
  // Number of probes in progress by zone. Held by a shared pointer, so that a probe that finishes
  // after this object was destroyed can detect it.
  using ZoneProbes = std::map<ZoneName, int>;
  std::shared_ptr<ZoneProbes> zone_probes_ = std::make_shared<ZoneProbes>();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REACHABILITY_PROBER_H_
