#ifndef DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_
#define DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_

#include <string>

namespace damaskroute {

/// Names of the headers used between callers, nodes and backend servers. They are defined by the
/// platform and provided by its adapter.
struct ForwardProtocol {
  std::string request_id;       ///< Identifies one attempt of a caller; echoed by servers.
  std::string deadline_ms;      ///< Time until the sender's deadline, in milliseconds.
  std::string expected_server;  ///< Id of the server that may run the request.
  std::string not_executed;     ///< In a response: the server did not run the request.
  std::string tenant;           ///< Name of the tenant whose key the caller sent; set by the node.
  std::string authorization_scheme;  ///< Scheme of the Authorization header with an API key.
  std::string server_stamp;          ///< The server's signature of its response.
  std::string leaving;               ///< In a server's response, with the value 1: it is leaving.
  /// In a server's response: the requests per second, as a decimal number, that it accepts from all
  /// nodes together until a response without this header.
  std::string rate_limit;
  std::string part_stamps;    ///< In a merged answer: the signatures of its parts.
  std::string missing_parts;  ///< In a merged answer: number of shards that it lacks.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_
