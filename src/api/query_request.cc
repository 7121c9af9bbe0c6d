#include "damaskroute/api/query_request.h"

#include "damaskroute/api/internal/body_reader.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using internal::MemberError;

absl::Status ReadMember(std::string_view name, const rapidjson::Value& value,
                        QueryRequest& request) {
  if (name == "query") {
    if (!value.IsObject()) return MemberError(name, "an object");
    request.query = internal::ToJson(value);
    return absl::OkStatus();
  }
  if (name == "deadline_ms") {
    auto deadline = internal::ReadDeadline(value);
    if (!deadline.ok()) return deadline.status();
    request.deadline = *deadline;
    return absl::OkStatus();
  }
  if (name == "priority") {
    auto priority = value.IsString() ? ParsePriority(value.GetString()) : std::nullopt;
    if (!priority) return MemberError(name, R"("urgent", "normal" or "bulk")");
    request.priority = *priority;
    return absl::OkStatus();
  }
  if (name == "request_id") {
    auto id = internal::ReadIdentifier(name, value, kMaxRequestIdBytes);
    if (!id.ok()) return id.status();
    request.request_id = *std::move(id);
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
      fmt::format("unknown member \"{}\"; known are query, deadline_ms, priority, request_id",
                  name.substr(0, kMaxRequestIdBytes)));
}

}  // namespace

absl::StatusOr<QueryRequest> ParseQueryRequest(std::string_view body) {
  auto document = internal::ParseBodyObject(body);
  if (!document.ok()) return document.status();
  QueryRequest request;
  for (const internal::BodyMember& member : internal::MembersOf(*document)) {
    absl::Status status = ReadMember(member.name, *member.value, request);
    if (!status.ok()) return status;
  }
  if (request.query.empty()) return MemberError("query", "an object; the member is missing");
  return request;
}

}  // namespace damaskroute
