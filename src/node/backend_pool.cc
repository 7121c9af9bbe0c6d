#include "damaskroute/node/backend_pool.h"

#include <utility>

namespace damaskroute {
namespace {

// Connections allowed beyond the limit of concurrent calls: a cancelled call holds its connection
// until the connection is closed.
constexpr int kClosingConnections = 2;

}  // namespace

BackendPool::BackendPool(asio::io_context& loop, BackendClientOptions options)
    : loop_(loop), options_(std::move(options)) {
  if (!options_.connection_budget) return;
  options_.connection_budget->SetCloseIdle([this] {
    for (const auto& [backend, client] : clients_) {
      if (client->CloseIdleConnections() > 0) return;
    }
  });
}

BackendPool::~BackendPool() {
  if (options_.connection_budget) options_.connection_budget->SetCloseIdle(nullptr);
}

std::shared_ptr<BackendClient> BackendPool::ClientFor(const std::shared_ptr<Backend>& backend) {
  // The server's entry may be removed between the choice of the server and the call. Such a call
  // gets a client of its own.
  auto make = [&] {
    return std::make_shared<BackendClient>(
        loop_, backend->entry.endpoint, backend->max_outstanding + kClosingConnections, options_);
  };
  if (backend->gone) return make();
  auto [client, inserted] = clients_.try_emplace(backend.get());
  if (inserted) client->second = make();
  client->second->SetMaxConnections(backend->max_outstanding + kClosingConnections);
  client->second->SetMaxIdleConnections(backend->max_idle_connections);
  return client->second;
}

std::uint64_t BackendPool::connect_count() const {
  std::uint64_t sum = 0;
  for (const auto& [backend, client] : clients_) sum += client->connect_count();
  return sum;
}

}  // namespace damaskroute
