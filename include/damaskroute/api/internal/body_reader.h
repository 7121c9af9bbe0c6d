#ifndef DAMASKROUTE_API_INTERNAL_BODY_READER_H_
#define DAMASKROUTE_API_INTERNAL_BODY_READER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "rapidjson/document.h"

namespace damaskroute::internal {

/// One member of a JSON object. Points into the document.
struct BodyMember {
  std::string_view name;
  const rapidjson::Value* value = nullptr;
};

/// Returns the members of an object in document order. Under C++20, Clang rejects RapidJSON's
/// member iterators in a range-based for loop because their comparison operators are ambiguous.
std::vector<BodyMember> MembersOf(const rapidjson::Value& object);

/// Parses a request body, which must be a single JSON object without duplicate members.
absl::StatusOr<rapidjson::Document> ParseBodyObject(std::string_view body);

/// Serializes a value as compact JSON.
std::string ToJson(const rapidjson::Value& value);

/// Error for a member with an invalid value: `"NAME": expected EXPECTED`.
absl::Status MemberError(std::string_view name, std::string_view expected);

/// Reads `deadline_ms`: an integer from 1 to `kMaxDeadline`.
absl::StatusOr<std::chrono::milliseconds> ReadDeadline(const rapidjson::Value& value);

/// Reads an identifier of 1 to `max_bytes` printable ASCII characters without spaces.
absl::StatusOr<std::string> ReadIdentifier(std::string_view name, const rapidjson::Value& value,
                                           std::size_t max_bytes);

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_API_INTERNAL_BODY_READER_H_
