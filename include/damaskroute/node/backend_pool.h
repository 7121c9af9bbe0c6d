#ifndef DAMASKROUTE_NODE_BACKEND_POOL_H_
#define DAMASKROUTE_NODE_BACKEND_POOL_H_

#include <memory>
#include <unordered_map>

#include "damaskroute/core/asio.h"
#include "damaskroute/forward/backend.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/http/backend_client_options.h"

namespace damaskroute {

/// Connections to all backend servers, one client for each incarnation of a server.
class BackendPool {
 public:
  BackendPool(asio::io_context& loop, BackendClientOptions options)
      : loop_(loop), options_(std::move(options)) {}

  /// Client for a server, shared with the calls that run on it.
  std::shared_ptr<BackendClient> For(const std::shared_ptr<Backend>& backend);

  /// Drops the idle connections of a server that is gone; calls that run on them go on.
  void Forget(const Backend* backend) { clients_.erase(backend); }

  /// Connections opened so far to the servers that are known now.
  std::uint64_t connects() const;

 private:
  asio::io_context& loop_;
  const BackendClientOptions options_;
  std::unordered_map<const Backend*, std::shared_ptr<BackendClient>> clients_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_BACKEND_POOL_H_
