#ifndef DAMASKROUTE_RELAY_NODE_RECORD_H_
#define DAMASKROUTE_RELAY_NODE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// What a node says of itself under its key in the store.
struct NodeRecord {
  ZoneName zone;
  std::optional<Endpoint> changes;  ///< Where other nodes can follow its changes of the store.

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// Text form (JSON).
std::string RenderNodeRecord(const NodeRecord& record);

/// InvalidArgument if the text is not a record.
absl::StatusOr<NodeRecord> ParseNodeRecord(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_NODE_RECORD_H_
