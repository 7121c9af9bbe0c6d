#include "damaskroute/config/config_document.h"

#include <algorithm>

namespace damaskroute {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& entries, const std::string& name) {
  auto it = std::find_if(entries.begin(), entries.end(),
                         [&](const T& entry) { return entry.name == name; });
  return it == entries.end() ? nullptr : &*it;
}

}  // namespace

const Zone* ConfigDocument::FindZone(const ZoneName& name) const { return FindByName(zones, name); }

const Service* ConfigDocument::FindService(const ServiceName& name) const {
  return FindByName(services, name);
}

const SearchFront* ConfigDocument::FindFront(const FrontName& name) const {
  return FindByName(fronts, name);
}

bool AcceptsWork(const ConfigDocument& config, const BackendServer& backend) {
  const Zone* zone = config.FindZone(backend.zone);
  return zone != nullptr && zone->state == ZoneState::kServing &&
         backend.intent == BackendIntent::kServing;
}

}  // namespace damaskroute
