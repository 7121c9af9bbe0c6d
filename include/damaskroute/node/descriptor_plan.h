#ifndef DAMASKROUTE_NODE_DESCRIPTOR_PLAN_H_
#define DAMASKROUTE_NODE_DESCRIPTOR_PLAN_H_

#include <cstddef>
#include <limits>
#include <optional>

namespace damaskroute {

/// How many connections a node may have of each kind, so that none of them uses up the file
/// descriptors that the others need. The defaults hold if the limit of the machine is unknown.
struct DescriptorPlan {
  std::size_t callers = 4096;       ///< Of callers.
  std::size_t peer_callers = 4096;  ///< Of other nodes that pass requests to this one.
  std::size_t followers = 2048;     ///< Of nodes that follow the store through this one.
  std::size_t readiness = 32;
  std::size_t metrics = 32;
  std::size_t servers = std::numeric_limits<std::size_t>::max();  ///< To backend servers.
  std::size_t peers = std::numeric_limits<std::size_t>::max();    ///< To other nodes.
};

/// Divides the descriptors that the process may open. The sum of the plan and of what the process
/// needs besides, for the store, listening sockets, probes and its event loop, is at most
/// `max_descriptors`, if that is at least 64.
DescriptorPlan DivideDescriptors(std::optional<int> max_descriptors);

/// Limit of the memory that clients hold (`ClientMemory`) on a machine with this much memory.
std::size_t ClientMemoryLimit(std::optional<std::size_t> memory_bytes);

/// Limit of the memory for bodies of responses of servers and other nodes
/// (`ForwardServiceOptions::max_held_bytes`).
std::size_t ResponseMemoryLimit(std::optional<std::size_t> memory_bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_DESCRIPTOR_PLAN_H_
