#ifndef DAMASKROUTE_NODE_BACKEND_POOL_H_
#define DAMASKROUTE_NODE_BACKEND_POOL_H_

#include <memory>
#include <unordered_map>

#include "damaskroute/core/asio.h"
#include "damaskroute/forward/backend.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/http/backend_client_options.h"

namespace damaskroute {

/// Holds the connections to all backend servers, with one client per incarnation of a server.
class BackendPool {
 public:
  BackendPool(asio::io_context& loop, BackendClientOptions options);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Returns the client for a server. Calls in progress share its ownership.
  std::shared_ptr<BackendClient> ClientFor(const std::shared_ptr<Backend>& backend);

  /// Closes the idle connections of a removed server; calls in progress continue.
  void Forget(const Backend* backend) { clients_.erase(backend); }

  /// Number of connections opened so far to the servers that are currently known.
  std::uint64_t connect_count() const;

 private:
  asio::io_context& loop_;
  const BackendClientOptions options_;
  std::unordered_map<const Backend*, std::shared_ptr<BackendClient>> clients_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_BACKEND_POOL_H_
