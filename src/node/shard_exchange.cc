#include "damaskroute/node/shard_exchange.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "damaskroute/api/rows.h"
#include "fmt/compile.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kHealthTimeout{1000};
constexpr milliseconds kCancelTimeout{1000};

// Capacity for the headers of typical requests, so that rendering rarely reallocates.
constexpr std::size_t kHeaderCapacityBytes = 384;

microseconds TimeLeft(const HolderCall& call, TimePoint now) {
  return std::max(std::chrono::duration_cast<microseconds>(call.deadline - now), microseconds(1));
}

// Rounded up, so that the backend server does not time out before the holder does.
std::int64_t DeadlineHeader(microseconds time_left) {
  return std::chrono::ceil<milliseconds>(time_left).count();
}

ShardOutcome OutcomeOfEnd(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kConnectFailed:
      return ShardOutcome::kConnectFailed;
    case ExchangeEnd::kConnectionLost:
      return ShardOutcome::kConnectionLost;
    case ExchangeEnd::kTimedOut:
      return ShardOutcome::kTimedOut;
    case ExchangeEnd::kCancelled:
      return ShardOutcome::kCancelled;
    case ExchangeEnd::kAnswered:
    case ExchangeEnd::kBadAnswer:
      return ShardOutcome::kBadAnswer;
  }
  return ShardOutcome::kBadAnswer;
}

// Outcome for a status other than 200; nullopt if the status does not determine one.
std::optional<ShardOutcome> OutcomeOfStatus(int status) {
  switch (status) {
    case 409:
      return ShardOutcome::kVersionGone;
    case 503:
      return ShardOutcome::kShed;
    case 499:
      return ShardOutcome::kCancelled;
    case 504:
      return ShardOutcome::kTimedOut;
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string WireRequestId(const HolderCall& call) {
  if (call.action) return call.action->action_id;
  return fmt::format(FMT_COMPILE("{}.{:x}"), call.batch->request_id, call.batch->query_id);
}

ExchangeRequest MakeExchangeRequest(const HolderCall& call, const Endpoint& backend,
                                    TimePoint now) {
  ExchangeRequest request;
  request.time_left = TimeLeft(call, now);
  request.request_id = WireRequestId(call);
  const std::string& body = call.action ? call.action->body : call.batch->body;
  request.bytes.reserve(kHeaderCapacityBytes + body.size());
  fmt::format_to(
      std::back_inserter(request.bytes),
      FMT_COMPILE("POST /shard/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
                  "Content-Length: {}\r\nDamask-Request-Id: {}\r\nDamask-Attempt: {}\r\n"
                  "Damask-Deadline-Ms: {}\r\n"),
      call.action ? "action" : "query", FormatEndpoint(backend), body.size(), request.request_id,
      call.call.call_id, DeadlineHeader(request.time_left));
  if (call.action) {
    fmt::format_to(std::back_inserter(request.bytes), FMT_COMPILE("Damask-Action-Id: {}\r\n\r\n"),
                   call.action->action_id);
  } else {
    fmt::format_to(std::back_inserter(request.bytes),
                   FMT_COMPILE("Damask-Index-Version: {}\r\nDamask-Range: {}-{}\r\n\r\n"),
                   call.batch->version, call.call.range.low, call.call.range.high);
  }
  request.bytes += body;
  return request;
}

ExchangeRequest MakeCancelRequest(const HolderCall& call, const Endpoint& backend) {
  return {fmt::format("DELETE /shard/calls/{}/{} HTTP/1.1\r\nHost: {}\r\n\r\n", WireRequestId(call),
                      call.call.call_id, FormatEndpoint(backend)),
          kCancelTimeout,
          {}};
}

ExchangeRequest MakeHealthRequest(const Endpoint& backend) {
  return {fmt::format("GET /health HTTP/1.1\r\nHost: {}\r\n\r\n", FormatEndpoint(backend)),
          kHealthTimeout,
          {}};
}

ShardOutcome ClassifyExchange(const HolderCall& call, const ExchangeResult& result,
                              std::string& rows) {
  if (result.end != ExchangeEnd::kAnswered) return OutcomeOfEnd(result.end);
  bool matches = result.request_id == WireRequestId(call) && result.attempt == call.call.call_id;
  // A refusal of another call does not apply to this one, which may still run. A refusal without a
  // request id comes from a component of the backend server that has not processed the request.
  if (!result.request_id.empty() && !matches) return ShardOutcome::kBadAnswer;
  if (auto outcome = OutcomeOfStatus(result.status)) return *outcome;
  if (result.status != 200 || !matches) return ShardOutcome::kBadAnswer;
  if (call.action) return ShardOutcome::kRows;
  if (result.version != call.batch->version || result.range.IsEmpty() ||
      !call.call.range.Contains(result.range)) {
    return ShardOutcome::kBadAnswer;
  }
  auto extracted = ExtractRows(result.body);
  if (!extracted) return ShardOutcome::kBadAnswer;
  rows = *std::move(extracted);
  return ShardOutcome::kRows;
}

}  // namespace damaskroute
