#include "damaskroute/node/descriptor_plan.h"

#include <algorithm>

#include "damaskroute/http/client_memory.h"

namespace damaskroute {
namespace {

// Standard streams, event loop and signals (8), listening sockets (5), calls to the store (8), and
// probes of servers.
constexpr std::size_t kReserved = 32;

// The least number of connections of each kind.
constexpr std::size_t kMinConnections = 2;

// Peak memory must stay below 60% of the machine's. Clients hold up to a sixth and responses up to
// a tenth. With a fifth for clients, headers of thousands of fields took 38.6 of 39.3 MB. The rest
// is for the program, the configuration, and what the allocator needs beyond the sizes that are
// counted.
constexpr std::size_t kClientFraction = 6;
constexpr std::size_t kResponseFraction = 10;

// A single request at the default limits must fit in the smallest account.
constexpr std::size_t kMinClientBytes = std::size_t{4} << 20;

constexpr std::size_t kDefaultResponseBytes = std::size_t{64} << 20;
constexpr std::size_t kMinResponseBytes = std::size_t{1} << 20;

}  // namespace

DescriptorPlan DivideDescriptors(std::optional<int> max_descriptors) {
  DescriptorPlan plan;
  if (!max_descriptors) return plan;
  auto total = static_cast<std::size_t>(*max_descriptors);
  std::size_t left = total > kReserved ? total - kReserved : 0;
  auto part = [left](std::size_t divisor, std::size_t most) {
    return std::clamp(left / divisor, kMinConnections, most);
  };
  plan.readiness = part(16, plan.readiness);
  plan.metrics = part(32, plan.metrics);
  plan.followers = part(8, plan.followers);
  plan.peer_callers = part(8, plan.peer_callers);
  plan.peers = part(16, plan.peers);
  std::size_t internal =
      plan.readiness + plan.metrics + plan.followers + plan.peer_callers + plan.peers;
  std::size_t rest = left > internal ? left - internal : 0;
  plan.callers = std::clamp(rest / 2, kMinConnections, plan.callers);
  plan.servers = std::max(rest - std::min(rest, plan.callers), kMinConnections);
  return plan;
}

std::size_t ClientMemoryLimit(std::optional<std::size_t> memory_bytes) {
  if (!memory_bytes) return ClientMemory::kDefaultLimit;
  return std::max(*memory_bytes / kClientFraction, kMinClientBytes);
}

std::size_t ResponseMemoryLimit(std::optional<std::size_t> memory_bytes) {
  if (!memory_bytes) return kDefaultResponseBytes;
  return std::clamp(*memory_bytes / kResponseFraction, kMinResponseBytes, kDefaultResponseBytes);
}

}  // namespace damaskroute
