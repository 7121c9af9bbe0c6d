#ifndef SRC_NODE_FORWARD_EXCHANGE_H_
#define SRC_NODE_FORWARD_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/node/forward_service.h"

namespace damaskroute {

/// One caller's request with its connections.
struct ForwardService::Exchange {
  Exchange(asio::io_context& loop, ForwardSpec spec, ForwardContext context)
      : run(std::move(spec), context), timer(loop) {}

  CallerRequest request;
  RequestKeys keys;
  HttpResponder respond;
  std::shared_ptr<CallerPresence> presence;
  std::shared_ptr<const RouteTable> routes;  // Keeps `route` alive.
  TimePoint routes_since;                    // When these routes were activated.
  const Route* route = nullptr;
  ForwardRun run;
  AdmissionTicket ticket;
  std::size_t processor_calls = 0;  // Of a query that `ProcessorLimit` counts.
  std::unordered_map<std::uint32_t, CallInProgress> calls;
  asio::steady_timer timer;
  std::vector<std::pair<BackendName, Duration>> cancelled;  // With call ages, for the log.
  std::string failures;  // Failed calls and their reasons, for the log.
  bool from_peer = false;
  bool canary = false;            // Runs as a canary; see `CrashGuard`.
  bool server_survived = false;   // A server answered without an error.
  std::vector<CrashLoss> losses;  // Connections lost before that.
  std::vector<Peer> peers;        // To which the request was passed; the last is current.
  std::shared_ptr<BackendClient> peer_client;  // Null unless a peer has the request.
  std::uint64_t peer_call = 0;
};

}  // namespace damaskroute

#endif  // SRC_NODE_FORWARD_EXCHANGE_H_
