#ifndef DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_
#define DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_

#include <string>

namespace damaskroute {

/// Names of the headers between callers, nodes and backend servers. They belong to the deployment's
/// platform and come from its adapter.
struct ForwardProtocol {
  std::string request_id;       ///< Identifies one attempt of a caller; echoed by servers.
  std::string deadline_ms;      ///< Time that the sender will still wait, in milliseconds.
  std::string expected_server;  ///< Id of the server that may run the request.
  std::string not_executed;     ///< In an answer: the server did not run the request.
  std::string server_stamp;     ///< The server's signature on its answer.
  std::string leaving;          ///< In any answer of a server, with the value 1: it is leaving.
  std::string part_stamps;      ///< In a merged answer: the signatures of its parts.
  std::string missing_parts;    ///< In a merged answer: number of shards that are not in.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_PROTOCOL_H_
