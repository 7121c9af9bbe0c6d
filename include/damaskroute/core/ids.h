#ifndef DAMASKROUTE_CORE_IDS_H_
#define DAMASKROUTE_CORE_IDS_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Name of an entry node, unique in the deployment and stable across restarts of its process.
using NodeName = std::string;

/// Name of an availability zone.
using ZoneName = std::string;

/// Name of a service, the set of backend servers that serve one index.
using ServiceName = std::string;

/// Name of a search front, the address under which callers use a service.
using FrontName = std::string;

/// Name of a backend server, unique in the deployment.
using BackendName = std::string;

/// Number that distinguishes a restarted node process from its predecessors. It increases with each
/// restart of the node.
using Incarnation = std::uint64_t;

/// Random number that a backend server draws at each start; it identifies the incarnation.
using BootId = std::uint64_t;

/// Version of an index; a greater number is newer.
using IndexVersion = std::uint64_t;

/// Revision of a configuration or roster document; a greater number is newer, 0 means none.
using Revision = std::uint64_t;

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_IDS_H_
