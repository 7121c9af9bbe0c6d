#ifndef DAMASKROUTE_API_QUERY_REQUEST_H_
#define DAMASKROUTE_API_QUERY_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/priority.h"

namespace damaskroute {

/// Longest deadline that a caller may request.
inline constexpr std::chrono::milliseconds kMaxDeadline{60'000};

/// Maximum length of a request id in bytes.
inline constexpr std::size_t kMaxRequestIdBytes = 128;

/// Body of `POST /v1/fronts/F/query`.
struct QueryRequest {
  std::string query;  ///< The query object as compact JSON.
  std::optional<std::chrono::milliseconds> deadline;
  Priority priority = Priority::kNormal;
  std::string request_id;  ///< Empty if the caller sent none.
};

/// Parses the body. Returns InvalidArgument with a message for the caller if the body is not JSON
/// or a member is unknown, duplicated, of the wrong type or out of range.
absl::StatusOr<QueryRequest> ParseQueryRequest(std::string_view body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_QUERY_REQUEST_H_
