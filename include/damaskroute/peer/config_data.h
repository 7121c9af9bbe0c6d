#ifndef DAMASKROUTE_PEER_CONFIG_DATA_H_
#define DAMASKROUTE_PEER_CONFIG_DATA_H_

#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// Answer to a `ConfigPull`: the whole document, or the differences that lead to it from the
/// revision that the asking node has.
struct ConfigData {
  Revision revision = 0;
  ContentHash hash = 0;             ///< Of the document after all differences are applied.
  Revision base_revision = 0;       ///< 0 if `document` is set, else the revision to start from.
  std::string document;             ///< Whole document, empty if `deltas` is set.
  std::vector<std::string> deltas;  ///< Applied in order to the document of `base_revision`.

  friend bool operator==(const ConfigData&, const ConfigData&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONFIG_DATA_H_
