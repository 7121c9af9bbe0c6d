#ifndef SRC_NODE_FORWARD_EXCHANGE_H_
#define SRC_NODE_FORWARD_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/node/forward_service.h"

namespace damaskroute {

/// Why a request with an API key does not run on this node.
inline constexpr char kOutdatedReason[] = "the configuration with the API keys is too old";

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
  std::string failures;            // Failed calls and their reasons, for the log.
  const Tenant* tenant = nullptr;  // Held by `routes`; null if there is none.
  bool charged = false;            // Of another node, which has charged it to a quota.
  bool outdated = false;           // Must not run here, as the configuration is too old.
  bool from_peer = false;
  bool canary = false;            // Runs as a canary; see `CrashGuard`.
  bool server_survived = false;   // A server answered without an error.
  std::vector<CrashLoss> losses;  // Connections lost before that.
  std::vector<Peer> peers;        // To which the request was passed; the last is current.
  std::shared_ptr<BackendClient> peer_client;  // Null unless a peer has the request.
  std::uint64_t peer_call = 0;
  bool awaits_quota = false;            // Waits for a token, and has not begun.
  std::uint64_t quota_waiter = 0;       // Number of the wait.
  std::optional<Duration> quota_token;  // Expiry of the token, until the request has run.
};

}  // namespace damaskroute

#endif  // SRC_NODE_FORWARD_EXCHANGE_H_
