#ifndef DAMASKROUTE_SCATTER_SERVICE_VIEW_H_
#define DAMASKROUTE_SCATTER_SERVICE_VIEW_H_

#include <optional>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/scatter/replica.h"
#include "damaskroute/scatter/version_map.h"

namespace damaskroute {

/// Replicas that can currently answer calls for each index version of a service. Immutable once
/// published.
struct ServiceView {
  ServiceName service;
  std::vector<NodeName> holders;  ///< Nodes that `HolderShare::node_index` refers to.
  std::vector<Replica> replicas;
  std::vector<VersionMap> versions;  ///< Newest first.

  /// Returns the partition map of `version`, or nullptr.
  const VersionMap* Find(IndexVersion version) const;
};

/// Returns the newest version whose live replicas cover the key space, otherwise the version with
/// the greatest coverage (the newest if equal). nullopt if no version has a live replica.
std::optional<IndexVersion> ChooseVersion(const ServiceView& view);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SERVICE_VIEW_H_
