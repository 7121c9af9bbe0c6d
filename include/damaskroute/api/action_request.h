#ifndef DAMASKROUTE_API_ACTION_REQUEST_H_
#define DAMASKROUTE_API_ACTION_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace damaskroute {

/// Body of `POST /v1/fronts/F/actions`.
struct ActionRequest {
  std::string action;     ///< The action object as compact JSON.
  std::uint64_t key = 0;  ///< Routing key; the shard that owns it runs the action.
  std::optional<std::chrono::milliseconds> deadline;
  std::string action_id;  ///< Empty if the caller sent none.
};

/// Parses the body. Returns the same errors as `ParseQueryRequest`.
absl::StatusOr<ActionRequest> ParseActionRequest(std::string_view body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_ACTION_REQUEST_H_
