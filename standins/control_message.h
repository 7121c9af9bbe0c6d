#ifndef STANDINS_CONTROL_MESSAGE_H_
#define STANDINS_CONTROL_MESSAGE_H_

#include <string_view>

#include "absl/status/status.h"
#include "damaskroute/core/json_member.h"

namespace damaskroute::standins {

/// Calls `apply(name, value)` for each member of a control message in order, up to the first error,
/// which it returns. Returns InvalidArgument if `json` is not a JSON object.
template <typename Apply>
absl::Status ApplyControlMessage(std::string_view json, Apply apply) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) {
    return absl::InvalidArgumentError("expected a JSON object");
  }
  absl::Status status;
  VisitJsonMembers(document, [&](std::string_view name, const rapidjson::Value& value) {
    status = apply(name, value);
    return status.ok();
  });
  return status;
}

}  // namespace damaskroute::standins

#endif  // STANDINS_CONTROL_MESSAGE_H_
