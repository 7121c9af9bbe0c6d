#ifndef DAMASKROUTE_RELAY_NODE_RECORD_H_
#define DAMASKROUTE_RELAY_NODE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// What a node publishes about itself under its key in the store.
struct NodeRecord {
  ZoneName zone;
  /// Where other nodes can follow the changes that this node reads from the store.
  std::optional<Endpoint> relay_endpoint;
  /// Where other nodes can send requests that they cannot serve themselves.
  std::optional<Endpoint> peer_endpoint;
  /// Where the node receives datagrams about quotas of tenants.
  std::optional<Endpoint> quota_endpoint;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// Encodes a record as JSON.
std::string RenderNodeRecord(const NodeRecord& record);

/// Decodes a record; InvalidArgument if the text is not valid.
absl::StatusOr<NodeRecord> ParseNodeRecord(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_NODE_RECORD_H_
