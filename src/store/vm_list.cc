#include "damaskroute/store/vm_list.h"

#include <rapidjson/document.h>

#include <algorithm>

#include "damaskroute/core/json_member.h"

namespace damaskroute {
namespace {

bool ReadText(const rapidjson::Value& object, const char* name, std::string& text) {
  text = FindJsonString(object, name).value_or("");
  return !text.empty();
}

bool ReadVm(const rapidjson::Value& value, VmEntry& entry) {
  std::string state;
  if (!value.IsObject() || !ReadText(value, "name", entry.name) ||
      !ReadText(value, "address", entry.address) || !ReadText(value, "zone", entry.zone) ||
      !ReadText(value, "state", state)) {
    return false;
  }
  entry.state = state == "leaving" ? VmState::kLeaving : VmState::kLive;
  return state == "live" || state == "leaving";
}

}  // namespace

const VmEntry* VmList::Find(std::string_view name) const {
  auto it = std::find_if(vms.begin(), vms.end(),
                         [&](const VmEntry& entry) { return entry.name == name; });
  return it == vms.end() ? nullptr : &*it;
}

absl::StatusOr<VmList> ParseVmList(std::string_view json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) {
    return absl::InvalidArgumentError("the VM list is not a JSON object");
  }
  const rapidjson::Value* vms = FindJsonMember(document, "vms");
  if (vms == nullptr || !vms->IsArray()) {
    return absl::InvalidArgumentError("the VM list has no array \"vms\"");
  }
  VmList list;
  for (const auto& value : vms->GetArray()) {
    VmEntry entry;
    if (!ReadVm(value, entry)) return absl::InvalidArgumentError("malformed entry in the VM list");
    list.vms.push_back(std::move(entry));
  }
  return list;
}

}  // namespace damaskroute
