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
#include "standins/loop.h"

namespace damaskroute::standins {

/// One port for the control of many backend servers, which works while they are down or at their
/// connection limit: `POST /NAME/control`, `GET /NAME/control/stats`, `GET /NAME/control/log`,
/// and for all of them `POST /control` and `GET /control/stats`, a JSON array. It needs a loop of
/// its own, as it waits for the loops of the backend servers.
class ControlStandin {
 public:
  /// `backends` must outlive this object.
  ControlStandin(Loop& loop, std::vector<BackendStandin*> backends);
  ~ControlStandin();
  ControlStandin(const ControlStandin&) = delete;
  ControlStandin& operator=(const ControlStandin&) = delete;

  /// Listens. Unavailable if the port is taken.
  absl::Status Start(const Endpoint& endpoint);

  /// Address with the port in use; valid after `Start`.
  Endpoint endpoint() const;

 private:
  void Handle(HttpConnection& connection, const HttpRequest& request);

  Loop& loop_;
  std::vector<BackendStandin*> backends_;
  Endpoint endpoint_;
  std::shared_ptr<HttpServer> server_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_CONTROL_STANDIN_H_
