#ifndef DAMASKROUTE_NODE_CALLER_REQUEST_H_
#define DAMASKROUTE_NODE_CALLER_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/http/caller_way.h"
#include "damaskroute/http/header_field.h"
#include "damaskroute/http/http_request.h"
#include "damaskroute/node/forward_protocol.h"

namespace damaskroute {

/// A caller's request as it is forwarded.
struct CallerRequest {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::string host;
  std::string id;  ///< Empty if the caller sent none.
  std::string body;
  bool has_body = false;             ///< Whether the caller framed a body, even an empty one.
  std::vector<HeaderField> headers;  ///< All that are passed on unchanged.
  std::optional<std::chrono::milliseconds> patience;  ///< How long the caller waits, if it says so.
  TimePoint received;
  CallerWay way;
};

/// Takes what is forwarded out of `request`. Headers that concern one connection only, and those
/// that the node sets itself, are left out.
CallerRequest ReadCallerRequest(HttpRequest request, const ForwardProtocol& protocol);

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1) or frames a message.
bool IsConnectionHeader(std::string_view name);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CALLER_REQUEST_H_
