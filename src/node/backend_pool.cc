#include "damaskroute/node/backend_pool.h"

namespace damaskroute {
namespace {

// Connections beyond the calls that may be open: a cancelled call still holds its connection for a
// moment.
constexpr int kClosingConnections = 2;

}  // namespace

std::shared_ptr<BackendClient> BackendPool::For(const std::shared_ptr<Backend>& backend) {
  // Calls may still be sent to a server whose entry went while the call was decided.
  auto make = [&] {
    return std::make_shared<BackendClient>(
        loop_, backend->entry.endpoint, backend->max_outstanding + kClosingConnections, options_);
  };
  if (backend->gone) return make();
  auto [place, inserted] = clients_.try_emplace(backend.get());
  if (inserted) place->second = make();
  place->second->SetMaxConnections(backend->max_outstanding + kClosingConnections);
  place->second->SetMaxKept(backend->max_kept);
  return place->second;
}

std::uint64_t BackendPool::connects() const {
  std::uint64_t sum = 0;
  for (const auto& [backend, client] : clients_) sum += client->connects();
  return sum;
}

}  // namespace damaskroute
