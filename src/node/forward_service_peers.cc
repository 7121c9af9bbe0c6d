#include <algorithm>
#include <utility>
#include <vector>

#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_call.h"
#include "damaskroute/node/forward_service.h"
#include "damaskroute/node/peer_request.h"
#include "fmt/format.h"
#include "forward_exchange.h"

// Requests that this node cannot serve, as it reaches too few backend servers, and those of other
// nodes.

namespace damaskroute {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

PeerOutcome OutcomeOf(const ExchangeResult& result) {
  switch (result.end) {
    case ExchangeEnd::kAnswered:
      return FindHeader(result.headers, kNotServableHeader) == nullptr ? PeerOutcome::kServed
                                                                       : PeerOutcome::kNotServable;
    case ExchangeEnd::kConnectFailed:
      return PeerOutcome::kNotReached;
    case ExchangeEnd::kCancelled:
      return PeerOutcome::kCancelled;
    case ExchangeEnd::kConnectionLost:
    case ExchangeEnd::kTimedOut:
    case ExchangeEnd::kBadAnswer:
      break;
  }
  return PeerOutcome::kLost;
}

}  // namespace

void ForwardService::SetPeers(std::vector<Peer> peers) {
  if (peers == peer_selector_.peers()) return;
  peer_clients_.RetainOnly(peers);
  crash_exchange_.SetPeers(peers);
  peer_selector_.SetPeers(std::move(peers));
}

void ForwardService::HandleFromPeer(HttpRequest http_request, HttpResponder respond) {
  auto presence = http_request.presence;
  auto credentials = TakeCredentialsIfNeeded(http_request);
  CallerRequest request = ReadCallerRequest(std::move(http_request), protocol_);
  auto info = TakePeerRequestInfo(request);
  const auto& routes = forwarding_state_.routes();
  const Route* route = routes ? routes->Find(request.host, request.target) : nullptr;
  // A node that has no tenants, or is of an earlier version, sends the fingerprint without keys.
  bool is_same_route = info && route != nullptr &&
                       (info->route == RouteFingerprint(*route) ||
                        (HasTenants() && info->route == KeyedRouteFingerprint(*route)));
  if (!is_same_route) return RefuseToPeer(request, "the route differs here", {}, respond);
  Origin origin{.peer = true,
                .max_attempts = info->attempts,
                .canary = info->canary,
                .charged = info->charged};
  if (!Authorize(request, std::move(credentials), *route, origin, respond)) return;
  Serve(std::move(request), std::move(presence), *route, origin, std::move(respond));
}

void ForwardService::RefuseFromPeer(HttpRequest request, const HttpResponder& respond) {
  RefuseToPeer(ReadCallerRequest(std::move(request), protocol_), "the node ends", {}, respond);
}

void ForwardService::RefuseToPeer(const CallerRequest& request, const char* reason,
                                  const std::string& route, const HttpResponder& respond) {
  ++metrics_.answers["not_servable"];
  LogLine(LogLevel::kInfo, "request of another node refused")
      .Field("request", request.id)
      .Field("reason", reason)
      .Field("routes_version", forwarding_state_.routes_version());
  HttpResponse response =
      MakeForwardRefusal(request, 503, reason, options_.refusal_retry, protocol_);
  MarkNotServable(response, route);
  respond(std::move(response));
}

void ForwardService::MarkNotServable(HttpResponse& response, const std::string& route) {
  response.headers.push_back({kNotServableHeader, "1"});
  if (auto serving = peer_selector_.ServingPeer(route, Now())) {
    response.headers.push_back({kServingNodeHeader, serving->name});
  }
}

bool ForwardService::LacksServers(const ForwardSpec& spec) const {
  TimePoint now = Now();
  auto reached = std::count_if(spec.services.begin(), spec.services.end(), [&](const auto& name) {
    return forwarding_state_.backends().IsReachable(name, now);
  });
  return reached < static_cast<std::ptrdiff_t>(spec.min_parts);
}

bool ForwardService::MayPassToPeer(Exchange& exchange, const ForwardAnswer& answer, TimePoint now) {
  if (aborted_ || exchange.from_peer || !LacksServers(exchange.run.spec())) return false;
  if (answer.kind == AnswerKind::kRefused) return true;
  return answer.kind == AnswerKind::kFailed && !exchange.canary &&
         exchange.run.attempts_left() > 0 &&
         peer_selector_.Choose(exchange.route->name, exchange.peers, {}, now).has_value() &&
         exchange.run.TakeRepeat(now);
}

// Returns false if there is no peer to try.
bool ForwardService::PassToPeer(const std::shared_ptr<Exchange>& exchange,
                                const NodeName& suggested) {
  TimePoint now = Now();
  TimePoint deadline = exchange->run.spec().deadline;
  const std::string& route = exchange->route->name;
  auto peer = peer_selector_.Choose(route, exchange->peers, suggested, now);
  if (!peer || now >= deadline) return false;
  auto client = peer_clients_.ClientFor(peer->endpoint);
  auto spent = now - exchange->request.received +
               CallerNetworkDelay(exchange->request.connection, exchange->route->objective);
  const Route& found = *exchange->route;
  bool keyed = exchange->routes->keys().is_configured();
  PeerRequestInfo info{
      keyed ? KeyedRouteFingerprint(found) : RouteFingerprint(found), exchange->run.attempts_left(),
      std::chrono::duration_cast<std::chrono::microseconds>(spent),
      request_guard_.IsSuspect(exchange->keys, now), exchange->quota_token.has_value()};
  exchange->peers.push_back(*peer);
  exchange->peer_client = client;
  peer_selector_.OnSent(*peer);
  exchange->peer_call = client->Start(
      MakePeerRequest(exchange->request, info, deadline, now, protocol_),
      [this, exchange, peer = *peer](ExchangeResult result) {
        peer_selector_.OnEnded(peer, OutcomeOf(result), exchange->route->name, Now());
        if (!exchange->peer_client) return;  // The caller left, or the node ends.
        // Defers the client's destruction until this callback, which the client runs, has returned.
        asio::post(loop_, [client = std::exchange(exchange->peer_client, nullptr)] {});
        OnPeerAnswer(exchange, peer, std::move(result));
      });
  return true;
}

void ForwardService::OnPeerAnswer(const std::shared_ptr<Exchange>& exchange, const Peer& peer,
                                  ExchangeResult result) {
  PeerOutcome outcome = OutcomeOf(result);
  bool not_run = outcome == PeerOutcome::kNotServable || outcome == PeerOutcome::kNotReached;
  NodeName suggested(HeaderValue(result.headers, kServingNodeHeader));
  if (not_run && PassToPeer(exchange, suggested)) return;
  const CallerRequest& request = exchange->request;
  const char* name = "at_peer";
  HttpResponse response;
  if (outcome == PeerOutcome::kServed) {
    response.status = result.status;
    response.content_type.clear();
    std::erase_if(result.headers,
                  [](const HeaderField& field) { return IsConnectionHeader(field.name); });
    response.headers = std::move(result.headers);
    response.body = std::move(result.body);
  } else if (not_run) {
    name = "refused";
    response = MakeForwardRefusal(
        request, 503,
        exchange->outdated ? kOutdatedReason : "no node reaches enough backend servers",
        RetryAfter(*exchange, Now()), protocol_);
  } else {
    bool timed_out = result.end == ExchangeEnd::kTimedOut;
    name = timed_out ? "timed_out" : "failed";
    response = MakeForwardRefusal(request, timed_out ? 504 : 502, "another node did not answer", {},
                                  protocol_);
  }
  // Status 401 is that of another node unless a server signed it.
  bool is_unauthorized = exchange->routes->keys().is_configured() && response.status == 401 &&
                         FindHeader(response.headers, protocol_.server_stamp) == nullptr;
  if (exchange->run.may_have_run() && (PromisesNotRun(response.status) || is_unauthorized)) {
    name = "failed";
    response = MakeForwardRefusal(request, 502, "no other node serves it, and it may have run here",
                                  {}, protocol_);
  }
  if (is_unauthorized && !exchange->run.may_have_run()) ReturnQuota(*exchange);
  Duration latency = Now() - request.received;
  metrics_.request_latency.Record(latency);
  ++metrics_.answers[name];
  LogLine(LogLevel::kInfo, "request answered by another node")
      .Field("request", request.id)
      .Field("route", exchange->route->name)
      .Field("outcome", name)
      .Field("status", response.status)
      .Field("peer", peer.name)
      .Field("tried", exchange->peers.size())
      .Field("latency_us", std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
  Complete(exchange, std::move(response));
}

void ForwardService::CancelPeerCall(Exchange& exchange) {
  auto client = std::exchange(exchange.peer_client, nullptr);
  client->Cancel(exchange.peer_call);
}

}  // namespace damaskroute
