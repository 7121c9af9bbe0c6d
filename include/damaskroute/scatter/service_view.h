#ifndef DAMASKROUTE_SCATTER_SERVICE_VIEW_H_
#define DAMASKROUTE_SCATTER_SERVICE_VIEW_H_

#include <optional>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/scatter/replica.h"
#include "damaskroute/scatter/version_map.h"

namespace damaskroute {

/// Where the index versions of one service can be asked now. Immutable once published.
struct ServiceView {
  ServiceName service;
  std::vector<NodeName> holders;  ///< Nodes that `HolderShare::node_index` refers to.
  std::vector<Replica> replicas;
  std::vector<VersionMap> versions;  ///< Newest first.

  /// Partition map of `version`, or nullptr.
  const VersionMap* Find(IndexVersion version) const;
};

/// The newest version whose live replicas cover the key space, else the one with the greatest
/// coverage (the newest of equals). nullopt if no version has a live replica.
std::optional<IndexVersion> ChooseVersion(const ServiceView& view);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SERVICE_VIEW_H_
