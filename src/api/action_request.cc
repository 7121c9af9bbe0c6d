#include "damaskroute/api/action_request.h"

#include "damaskroute/api/internal/body_reader.h"
#include "damaskroute/core/key_range.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using internal::MemberError;

constexpr std::size_t kMaxActionIdBytes = 256;

absl::Status ReadMember(std::string_view name, const rapidjson::Value& value,
                        ActionRequest& request) {
  if (name == "action") {
    if (!value.IsObject()) return MemberError(name, "an object");
    request.action = internal::ToJson(value);
    return absl::OkStatus();
  }
  if (name == "key") {
    if (!value.IsUint64() || value.GetUint64() >= kKeySpaceSize) {
      return MemberError(name, fmt::format("an integer from 0 to {}", kKeySpaceSize - 1));
    }
    request.key = value.GetUint64();
    return absl::OkStatus();
  }
  if (name == "deadline_ms") {
    auto deadline = internal::ReadDeadline(value);
    if (!deadline.ok()) return deadline.status();
    request.deadline = *deadline;
    return absl::OkStatus();
  }
  if (name == "action_id") {
    auto id = internal::ReadIdentifier(name, value, kMaxActionIdBytes);
    if (!id.ok()) return id.status();
    request.action_id = *std::move(id);
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
      fmt::format("unknown member \"{}\"; known are action, key, deadline_ms, action_id",
                  name.substr(0, kMaxActionIdBytes)));
}

}  // namespace

absl::StatusOr<ActionRequest> ParseActionRequest(std::string_view body) {
  auto document = internal::ParseBodyObject(body);
  if (!document.ok()) return document.status();
  ActionRequest request;
  bool has_key = false;
  for (const internal::BodyMember& member : internal::MembersOf(*document)) {
    absl::Status status = ReadMember(member.name, *member.value, request);
    if (!status.ok()) return status;
    has_key = has_key || member.name == "key";
  }
  if (request.action.empty()) return MemberError("action", "an object; the member is missing");
  if (!has_key) return MemberError("key", "an integer; the member is missing");
  return request;
}

}  // namespace damaskroute
