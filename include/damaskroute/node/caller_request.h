#ifndef DAMASKROUTE_NODE_CALLER_REQUEST_H_
#define DAMASKROUTE_NODE_CALLER_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/http/caller_connection.h"
#include "damaskroute/http/header_field.h"
#include "damaskroute/http/http_request.h"
#include "damaskroute/node/forward_protocol.h"

namespace damaskroute {

/// A caller's request in the form in which it is forwarded.
struct CallerRequest {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::string host;
  std::string id;  ///< Empty if the caller sent none.
  std::string body;
  bool has_body = false;             ///< Whether the caller framed a body, even an empty one.
  std::vector<HeaderField> headers;  ///< Headers that are forwarded unchanged.
  std::string tenant;                ///< Name of the caller's tenant; empty if there is none.
  /// Value of the Authorization header where tenants have keys; only sent to other nodes.
  std::string authorization;
  std::optional<std::chrono::milliseconds> caller_timeout;  ///< From the caller's deadline header.
  TimePoint received;
  CallerConnection connection;
};

/// Extracts the forwarded parts of `request`. Omits hop-by-hop headers and the headers that the
/// node sets itself.
CallerRequest ReadCallerRequest(HttpRequest request, const ForwardProtocol& protocol);

/// Removes the headers of `request` with API keys and the tenant's name, which a caller may not
/// set, and returns the Authorization headers. To be called where tenants are configured.
std::vector<HeaderField> TakeCredentials(HttpRequest& request, const ForwardProtocol& protocol);

/// Whether a header is hop-by-hop (RFC 9110, section 7.6.1) or part of the message framing.
bool IsConnectionHeader(std::string_view name);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CALLER_REQUEST_H_
