#ifndef STANDINS_CONTROL_STANDIN_H_
#define STANDINS_CONTROL_STANDIN_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/endpoint.h"
#include "standins/backend_standin.h"
#include "standins/http_server.h"
#include "standins/loop_thread.h"

namespace damaskroute::standins {

/// HTTP server that controls many backend servers through one port, even while they are down or at
/// their connection limit. Resources of one server are `POST /NAME/control`,
/// `GET /NAME/control/stats` and `GET /NAME/control/log`; `POST /control` and
/// `GET /control/stats` (a JSON array) apply to all servers. Requires a separate loop, because its
/// handlers block on the loops of the backend servers.
class ControlStandin {
 public:
  /// `backends` must outlive this object.
  ControlStandin(LoopThread& loop, std::vector<BackendStandin*> backends);
  ~ControlStandin();
  ControlStandin(const ControlStandin&) = delete;
  ControlStandin& operator=(const ControlStandin&) = delete;

  /// Starts to listen. Returns Unavailable if the port is in use.
  absl::Status Start(const Endpoint& endpoint);

  /// Address with the actual port; valid after `Start`.
  Endpoint endpoint() const;

 private:
  void Handle(HttpConnection& connection, const HttpRequest& request);

  LoopThread& loop_;
  std::vector<BackendStandin*> backends_;
  Endpoint endpoint_;
  std::shared_ptr<HttpServer> server_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_CONTROL_STANDIN_H_
