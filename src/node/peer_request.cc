#include "damaskroute/node/peer_request.h"

#include <bit>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"
#include "damaskroute/core/hash.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr char kRouteHeader[] = "Damask-Peer-Route";
constexpr char kAttemptsHeader[] = "Damask-Peer-Attempts";
constexpr char kSpentHeader[] = "Damask-Peer-Spent-Us";
constexpr char kCanaryHeader[] = "Damask-Peer-Canary";
constexpr char kChargedHeader[] = "Damask-Peer-Charged";

// Longer than the deadline of any request.
constexpr std::chrono::hours kMaxSpent{1};

bool IsPeerHeader(std::string_view name) {
  return SameHeaderName(name, kRouteHeader) || SameHeaderName(name, kAttemptsHeader) ||
         SameHeaderName(name, kSpentHeader) || SameHeaderName(name, kCanaryHeader) ||
         SameHeaderName(name, kChargedHeader);
}

template <typename T>
std::optional<T> NumberIn(const std::vector<HeaderField>& headers, const char* name) {
  std::string_view text = HeaderValue(headers, name);
  T number = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) return std::nullopt;
  return number;
}

}  // namespace

std::uint64_t RouteFingerprint(const Route& route) {
  std::uint64_t hash = Hash64(fmt::format(
      "{}\n{}\n{}\n{} {} {} {} {} {} {}", route.name, route.host, route.prefix, route.idempotent,
      route.timeout.count(), route.objective.count(), route.priority, route.max_attempts,
      route.top_records, std::bit_cast<std::uint64_t>(route.min_coverage)));
  for (const WeightedService& target : route.targets) {
    hash = Hash64(target.service, hash ^ std::bit_cast<std::uint64_t>(target.weight));
  }
  for (const ServiceName& shard : route.shards) hash = Hash64(shard, hash);
  // Nodes of earlier versions do not know public routes, and must get the same hash for others.
  if (route.is_public) hash = Hash64("public", hash);
  return hash;
}

std::uint64_t KeyedRouteFingerprint(const Route& route) {
  return Hash64("keys", RouteFingerprint(route));
}

ExchangeRequest MakePeerRequest(const CallerRequest& request, const PeerRequestInfo& info,
                                TimePoint deadline, TimePoint now,
                                const ForwardProtocol& protocol) {
  ExchangeRequest call;
  call.time_left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
  call.bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n",
                           request.method, request.target, request.host, kRouteHeader, info.route,
                           kAttemptsHeader, info.attempts, kSpentHeader, info.spent.count());
  auto append = [&call](std::string_view name, std::string_view value) {
    call.bytes.append(name).append(value.empty() ? ":" : ": ").append(value).append("\r\n");
  };
  if (info.canary) append(kCanaryHeader, "1");
  if (info.charged) append(kChargedHeader, "1");
  if (!request.id.empty()) append(protocol.request_id, request.id);
  if (request.caller_timeout) {
    append(protocol.deadline_ms, std::to_string(request.caller_timeout->count()));
  }
  // The other node finds the tenant by the key.
  if (!request.authorization.empty()) append(kAuthorizationHeader, request.authorization);
  for (const HeaderField& field : request.headers) {
    bool is_tenant = !request.tenant.empty() && SameHeaderName(field.name, protocol.tenant);
    if (!is_tenant && !IsPeerHeader(field.name)) append(field.name, field.value);
  }
  if (request.has_body || !request.body.empty()) {
    append("Content-Length", std::to_string(request.body.size()));
  }
  call.bytes += "\r\n";
  call.bytes += request.body;
  return call;
}

std::optional<PeerRequestInfo> TakePeerRequestInfo(CallerRequest& request) {
  auto route = NumberIn<std::uint64_t>(request.headers, kRouteHeader);
  auto attempts = NumberIn<int>(request.headers, kAttemptsHeader);
  auto spent = NumberIn<std::int64_t>(request.headers, kSpentHeader);
  bool canary = FindHeader(request.headers, kCanaryHeader) != nullptr;
  bool charged = FindHeader(request.headers, kChargedHeader) != nullptr;
  std::erase_if(request.headers, [](const HeaderField& field) { return IsPeerHeader(field.name); });
  if (!route || !attempts || *attempts < 1 || !spent || *spent < 0) return std::nullopt;
  PeerRequestInfo info{*route, *attempts, std::chrono::microseconds(*spent), canary, charged};
  if (info.spent > kMaxSpent) return std::nullopt;
  request.received -= info.spent;
  return info;
}

}  // namespace damaskroute
