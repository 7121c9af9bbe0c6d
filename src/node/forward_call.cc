#include "damaskroute/node/forward_call.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "damaskroute/forward/record_merge.h"
#include "fmt/compile.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

// Typical size of the headers of a forwarded request.
constexpr std::size_t kHeaderBytes = 512;

constexpr int kMisdirectedStatus = 421;
constexpr int kUnavailableStatus = 503;

// Upper limit for a server's Retry-After: far longer than a restart of a server, and short enough
// that a wrong value does not exclude the server permanently.
constexpr std::chrono::hours kMaxServerBackoff{1};

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  // Without the space of an empty value, a header of many empty fields does not outgrow the limits
  // of servers.
  out.append(name).append(value.empty() ? ":" : ": ").append(value).append("\r\n");
}

CallResult FailedCall(CallEnd end, const char* reason) {
  CallResult result;
  result.end = end;
  result.reason = reason;
  return result;
}

CallResult ClassifyFailedExchange(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kConnectFailed:
      return FailedCall(CallEnd::kUnreachable, "no connection");
    case ExchangeEnd::kTimedOut:
      return FailedCall(CallEnd::kLost, "timed out");
    case ExchangeEnd::kBadAnswer:
      return FailedCall(CallEnd::kLost, "invalid answer");
    case ExchangeEnd::kCancelled:
      return FailedCall(CallEnd::kLost, "cancelled");
    case ExchangeEnd::kConnectionLost:
    case ExchangeEnd::kAnswered:
      break;
  }
  CallResult lost = FailedCall(CallEnd::kLost, "connection lost");
  lost.connection_lost = true;
  return lost;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

HttpResponse PassOn(CallResult part) {
  HttpResponse response;
  response.status = part.status;
  response.content_type.clear();
  for (HeaderField& field : part.headers) {
    if (!IsConnectionHeader(field.name)) response.headers.push_back(std::move(field));
  }
  response.body = std::move(part.body);
  return response;
}

HttpResponse Merge(const CallerRequest& request, const ForwardAnswer& answer,
                   std::size_t top_records, const ForwardProtocol& protocol) {
  HttpResponse response;
  response.content_type = "application/octet-stream";
  std::string stamps;
  std::vector<std::string_view> bodies;
  bodies.reserve(answer.parts.size());
  for (const CallResult& part : answer.parts) {
    if (!stamps.empty()) stamps += ", ";
    stamps += part.stamp;
    bodies.push_back(part.body);
  }
  response.headers.push_back({protocol.request_id, request.id});
  response.headers.push_back({protocol.part_stamps, std::move(stamps)});
  response.headers.push_back({protocol.missing_parts, std::to_string(answer.missing)});
  response.body = MergeRecords(bodies, top_records);
  return response;
}

}  // namespace

ExchangeRequest MakeForwardCall(const CallerRequest& request, const BackendName& backend,
                                TimePoint deadline, TimePoint now,
                                const ForwardProtocol& protocol) {
  ExchangeRequest call;
  call.time_left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
  call.request_id = request.id;
  auto left = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(call.time_left).count());
  std::string& bytes = call.bytes;
  bytes.reserve(kHeaderBytes);
  fmt::format_to(std::back_inserter(bytes), FMT_COMPILE("{} {} HTTP/1.1\r\nHost: {}\r\n"),
                 request.method, request.target, request.host);
  if (!request.id.empty()) AppendHeader(bytes, protocol.request_id, request.id);
  fmt::format_to(std::back_inserter(bytes), FMT_COMPILE("{}: {}\r\n{}: {}\r\n"),
                 protocol.deadline_ms, left, protocol.expected_server, backend);
  for (const HeaderField& field : request.headers) AppendHeader(bytes, field.name, field.value);
  if (request.has_body || !request.body.empty()) {
    fmt::format_to(std::back_inserter(bytes), FMT_COMPILE("Content-Length: {}\r\n"),
                   request.body.size());
  }
  bytes += "\r\n";
  return call;
}

namespace {

// Parses seconds with an optional fraction and rounds up to milliseconds. Returns nothing for any
// other text, including a date, which this platform does not use.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  if (!absl::SimpleAtod(absl::string_view(text.data(), text.size()), &seconds)) {
    return std::nullopt;
  }
  if (!(seconds > 0)) return std::nullopt;
  std::chrono::duration<double> backoff = std::min<std::chrono::duration<double>>(
      std::chrono::duration<double>(seconds), kMaxServerBackoff);
  return std::chrono::ceil<std::chrono::milliseconds>(backoff);
}

CallResult ClassifyExchange(const CallerRequest& request, ExchangeResult result, bool query,
                            const ForwardProtocol& protocol) {
  if (result.no_descriptor) return FailedCall(CallEnd::kNotRun, "no free descriptor");
  if (result.end != ExchangeEnd::kAnswered) return ClassifyFailedExchange(result.end);
  if (!result.request_id.empty() && result.request_id != request.id) {
    return FailedCall(CallEnd::kLost, "answer to another request");
  }
  if (result.status == kMisdirectedStatus) {
    return FailedCall(CallEnd::kMisdirected, "another server has the address");
  }
  if (FindHeader(result.headers, protocol.not_executed) != nullptr) {
    return FailedCall(CallEnd::kNotRun, "the server did not run it");
  }
  CallResult call_result;
  call_result.status = result.status;
  call_result.stamp = HeaderValue(result.headers, protocol.server_stamp);
  bool success = IsSuccess(result.status);
  if (success && call_result.stamp.empty()) {
    return FailedCall(CallEnd::kLost, "success without a signature");
  }
  if (success && FindHeader(result.headers, "Content-Encoding") != nullptr) {
    return FailedCall(CallEnd::kLost, "encoded body");
  }
  bool error = query ? !success : result.status >= 500;
  call_result.end = error ? CallEnd::kServerError : CallEnd::kAnswered;
  if (error) call_result.reason = "the server reports an error";
  call_result.body = std::move(result.body);
  call_result.budgeted_bytes = std::move(result.budgeted_bytes);
  call_result.headers = std::move(result.headers);
  return call_result;
}

}  // namespace

CallResult ClassifyForwardCall(const CallerRequest& request, ExchangeResult result, bool query,
                               const ForwardProtocol& protocol) {
  std::optional<std::chrono::milliseconds> backoff;
  if (result.end == ExchangeEnd::kAnswered && result.status == kUnavailableStatus) {
    backoff = ParseRetryAfter(HeaderValue(result.headers, "Retry-After"));
  }
  bool leaving = result.leaving;
  std::optional<double> rate_limit = result.rate_limit;
  bool states_no_rate = !rate_limit && FindHeader(result.headers, protocol.rate_limit) == nullptr;
  CallResult call_result = ClassifyExchange(request, std::move(result), query, protocol);
  // Another server answered at the address, so the headers do not concern the server called.
  if (call_result.end == CallEnd::kMisdirected) return call_result;
  call_result.leaving = leaving;
  call_result.backoff = backoff;
  call_result.rate_limit = rate_limit;
  bool ran = call_result.end == CallEnd::kAnswered || call_result.end == CallEnd::kServerError;
  call_result.has_no_rate_limit = ran && states_no_rate;
  return call_result;
}

HttpResponse MakeForwardRefusal(const CallerRequest& request, int status, const char* reason,
                                std::chrono::milliseconds retry_after,
                                const ForwardProtocol& protocol) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = fmt::format("{}\n", reason);
  if (!request.id.empty()) response.headers.push_back({protocol.request_id, request.id});
  if (retry_after.count() > 0) {
    response.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000)});
  }
  return response;
}

HttpResponse MakeForwardResponse(const CallerRequest& request, ForwardAnswer answer,
                                 std::size_t top_records, const ForwardProtocol& protocol) {
  switch (answer.kind) {
    case AnswerKind::kPassedOn:
      return PassOn(std::move(answer.parts.front()));
    case AnswerKind::kMerged:
      return Merge(request, answer, top_records, protocol);
    case AnswerKind::kRefused:
      return MakeForwardRefusal(request, 503, answer.reason, answer.retry_after, protocol);
    case AnswerKind::kTimedOut:
      return MakeForwardRefusal(request, 504, answer.reason, {}, protocol);
    case AnswerKind::kFailed:
      break;
  }
  return MakeForwardRefusal(request, 502, answer.reason, {}, protocol);
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace damaskroute
