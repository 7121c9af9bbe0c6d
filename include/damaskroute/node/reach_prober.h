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

  /// Servers that are probed now.
  std::size_t size() const { return probed_.size(); }

 private:
  struct Probe;

  void Wait(const std::shared_ptr<Probe>& probe);
  void Try(const std::shared_ptr<Probe>& probe);

  asio::io_context& loop_;
  BackendPool& pool_;
  BackendTable& backends_;
  std::map<const Backend*, std::shared_ptr<Probe>> probed_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_REACH_PROBER_H_
