#ifndef DAMASKROUTE_NODE_REACH_PROBER_H_
#define DAMASKROUTE_NODE_REACH_PROBER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/node/backend_pool.h"

namespace damaskroute {

/// Tries in the background to open a connection to servers that could not be reached, so that they
/// are used again as soon as they can be, and no caller's request has to find out. It sends no
/// request; the connection is kept for the next call.
class ReachProber {
 public:
  /// Tells `backends` what the probes find.
  ReachProber(asio::io_context& loop, BackendPool& pool, BackendTable& backends)
      : loop_(loop), pool_(pool), backends_(backends) {}

  /// A call to the server failed for lack of a connection. Calls while it is probed are ignored.
  void OnUnreachable(const std::shared_ptr<Backend>& backend);

  /// Probes a server of each zone of which nothing was heard lately, and more of them if it is
  /// silent: a node without queries learns in this way that it is cut off, before a caller's
  /// request does. Silent servers are tried again like those that calls found. `on_silent` is
  /// called after each probe that found nothing.
  void ProbeQuietZones(const std::function<void()>& on_silent);

  /// Servers that are probed now.
  std::size_t size() const { return probed_.size(); }

 private:
  struct Probe;

  void ProbeZone(const ZoneName& zone, std::size_t servers, const std::function<void()>& on_silent);

  void Wait(const std::shared_ptr<Probe>& probe);
  void Try(const std::shared_ptr<Probe>& probe);

  asio::io_context& loop_;
  BackendPool& pool_;
  BackendTable& backends_;
  std::map<const Backend*, std::shared_ptr<Probe>> probed_;
  // Probes in progress of each zone; they may end after this object, which then owns this no
  // longer.
  using ZoneProbes = std::map<ZoneName, int>;
  std::shared_ptr<ZoneProbes> zone_probes_ = std::make_shared<ZoneProbes>();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REACH_PROBER_H_
