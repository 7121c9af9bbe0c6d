#ifndef DAMASKROUTE_CORE_JSON_MEMBER_H_
#define DAMASKROUTE_CORE_JSON_MEMBER_H_

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

// RapidJSON's member iterators cannot be compared outside its headers under C++20: clang reports
// their operator== as ambiguous. These functions avoid the comparison.

/// The member `name` of a JSON object; null if it is absent or `value` is not an object.
inline const rapidjson::Value* FindJsonMember(const rapidjson::Value& value, const char* name) {
  return value.IsObject() && value.HasMember(name) ? &value[name] : nullptr;
}

/// The member `name` if it is a string.
inline std::optional<std::string> FindJsonString(const rapidjson::Value& object, const char* name) {
  const rapidjson::Value* member = FindJsonMember(object, name);
  if (member == nullptr || !member->IsString()) return std::nullopt;
  return std::string(member->GetString(), member->GetStringLength());
}

/// Calls `visit(name, value)` for each member of the JSON object in order until it returns false.
/// Returns whether all members were visited.
template <typename Visit>
bool VisitJsonMembers(const rapidjson::Value& object, Visit visit) {
  for (rapidjson::SizeType i = 0; i < object.MemberCount(); ++i) {
    const auto& member = *(object.MemberBegin() + i);
    std::string_view name(member.name.GetString(), member.name.GetStringLength());
    if (!visit(name, member.value)) return false;
  }
  return true;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_JSON_MEMBER_H_
