#ifndef DAMASKROUTE_PEER_CONFIG_DATA_H_
#define DAMASKROUTE_PEER_CONFIG_DATA_H_

#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// Reply to a `ConfigPull`: the whole document, or the deltas that produce it from the revision of
/// the requesting node.
struct ConfigData {
  Revision revision = 0;
  ContentHash hash = 0;             ///< Hash of the document after all deltas are applied.
  Revision base_revision = 0;       ///< Revision that the deltas apply to, 0 if `document` is set.
  std::string document;             ///< Whole document, empty if `deltas` is set.
  std::vector<std::string> deltas;  ///< Applied in order to the document of `base_revision`.

  friend bool operator==(const ConfigData&, const ConfigData&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONFIG_DATA_H_
