#include "damaskroute/api/internal/body_reader.h"

#include <algorithm>
#include <vector>

#include "damaskroute/api/query_request.h"
#include "damaskroute/core/json_member.h"
#include "fmt/format.h"
#include "rapidjson/error/en.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute::internal {
namespace {

// Bounds the recursion depth of every consumer of the body.
constexpr int kMaxNestingDepth = 32;

int NestingDepth(std::string_view text) {
  int depth = 0;
  int max_depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      max_depth = std::max(max_depth, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return max_depth;
}

bool HasRepeatedMember(const rapidjson::Value& object) {
  std::vector<std::string_view> names;
  names.reserve(object.MemberCount());
  for (const BodyMember& member : MembersOf(object)) names.push_back(member.name);
  std::sort(names.begin(), names.end());
  return std::adjacent_find(names.begin(), names.end()) != names.end();
}

}  // namespace

std::vector<BodyMember> MembersOf(const rapidjson::Value& object) {
  std::vector<BodyMember> members;
  members.reserve(object.MemberCount());
  VisitJsonMembers(object, [&](std::string_view name, const rapidjson::Value& value) {
    members.push_back({name, &value});
    return true;
  });
  return members;
}

absl::StatusOr<rapidjson::Document> ParseBodyObject(std::string_view body) {
  if (NestingDepth(body) > kMaxNestingDepth) {
    return absl::InvalidArgumentError(
        fmt::format("the body nests deeper than {} levels", kMaxNestingDepth));
  }
  rapidjson::Document document;
  document.Parse<rapidjson::kParseValidateEncodingFlag>(body.data(), body.size());
  if (document.HasParseError()) {
    return absl::InvalidArgumentError(
        fmt::format("the body is not valid JSON at byte {}: {}", document.GetErrorOffset(),
                    rapidjson::GetParseError_En(document.GetParseError())));
  }
  if (!document.IsObject()) return absl::InvalidArgumentError("the body must be a JSON object");
  if (HasRepeatedMember(document)) {
    return absl::InvalidArgumentError("a member of the body occurs more than once");
  }
  return document;
}

std::string ToJson(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

absl::Status MemberError(std::string_view name, std::string_view expected) {
  return absl::InvalidArgumentError(fmt::format("\"{}\": expected {}", name, expected));
}

absl::StatusOr<std::chrono::milliseconds> ReadDeadline(const rapidjson::Value& value) {
  if (!value.IsInt64() || value.GetInt64() < 1 || value.GetInt64() > kMaxDeadline.count()) {
    return MemberError("deadline_ms", fmt::format("an integer from 1 to {}", kMaxDeadline.count()));
  }
  return std::chrono::milliseconds(value.GetInt64());
}

absl::StatusOr<std::string> ReadIdentifier(std::string_view name, const rapidjson::Value& value,
                                           std::size_t max_bytes) {
  auto is_allowed = [](char c) { return c > ' ' && c <= '~'; };
  if (value.IsString()) {
    std::string text(value.GetString(), value.GetStringLength());
    if (!text.empty() && text.size() <= max_bytes &&
        std::all_of(text.begin(), text.end(), is_allowed)) {
      return text;
    }
  }
  return MemberError(name,
                     fmt::format("1 to {} printable ASCII characters without spaces", max_bytes));
}

}  // namespace damaskroute::internal
