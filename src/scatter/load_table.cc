#include "damaskroute/scatter/load_table.h"

namespace damaskroute {

std::shared_ptr<CallLoad> LoadTable::OfBackend(const BackendName& backend) { return Get(backend); }

std::shared_ptr<CallLoad> LoadTable::OfHolder(const BackendName& backend, const NodeName& holder) {
  // Names contain no line feed, so the key differs from that of any backend server.
  return Get(backend + "\n" + holder);
}

void LoadTable::Prune() {
  std::lock_guard lock(mutex_);
  std::erase_if(loads_, [](const auto& entry) {
    return entry.second.use_count() == 1 && entry.second->outstanding() == 0;
  });
}

std::shared_ptr<CallLoad> LoadTable::Get(const std::string& key) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<CallLoad>& load = loads_[key];
  if (load == nullptr) load = std::make_shared<CallLoad>();
  return load;
}

}  // namespace damaskroute
