#ifndef DAMASKROUTE_NODE_PEER_REQUEST_H_
#define DAMASKROUTE_NODE_PEER_REQUEST_H_

#include <cstdint>
#include <optional>

#include "damaskroute/core/time.h"
#include "damaskroute/http/exchange_request.h"
#include "damaskroute/node/caller_request.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/routing/route.h"

namespace damaskroute {

/// What a node states about a request that it passes to another node.
struct PeerRequestInfo {
  /// `RouteFingerprint` of the route that it found, or `KeyedRouteFingerprint`. The other node
  /// serves the request only on the same route, so that a version of the routes that one of them
  /// does not have yet, or no longer has, is not applied.
  std::uint64_t route = 0;
  /// Limit of the backend servers that may run it, per service.
  int attempts = 1;
  /// Time since the caller's request was complete, and the time reserved for the answer's way back
  /// to the caller.
  std::chrono::microseconds spent{};
  /// Whether the request may crash backend servers, so that it runs as a canary.
  bool canary = false;
  /// Whether it has been charged to the quota of its tenant.
  bool charged = false;
};

/// In a response to another node: this node cannot serve the request either, and has not run it.
inline constexpr char kNotServableHeader[] = "Damask-Not-Servable";

/// Beside `kNotServableHeader`: the name of a node that served a request on the same route lately.
inline constexpr char kServingNodeHeader[] = "Damask-Serving-Node";

/// Hash of everything that decides how requests on the route are handled.
std::uint64_t RouteFingerprint(const Route& route);

/// The fingerprint for a request whose keys were checked, as tenants are configured. A node that
/// does not check keys does not know it, so it does not run the request.
std::uint64_t KeyedRouteFingerprint(const Route& route);

/// Renders a request that is passed to another node; it ends at `deadline`.
ExchangeRequest MakePeerRequest(const CallerRequest& request, const PeerRequestInfo& info,
                                TimePoint deadline, TimePoint now, const ForwardProtocol& protocol);

/// Removes the information from the headers of a request that another node has passed on, and
/// counts its time from the arrival at that node; nullopt if it is missing or invalid.
std::optional<PeerRequestInfo> TakePeerRequestInfo(CallerRequest& request);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_PEER_REQUEST_H_
