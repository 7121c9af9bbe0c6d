#include "damaskroute/routing/backend_directory.h"

#include <algorithm>

namespace damaskroute {

DirectoryChange BackendDirectory::OnEntry(const BackendEntry& entry) {
  auto [place, inserted] = known_.try_emplace(entry.id, Known{entry, std::nullopt});
  if (inserted) return DirectoryChange::kAdded;
  Known& known = place->second;
  if (entry.incarnation < known.entry.incarnation) return DirectoryChange::kNone;
  bool same_incarnation = entry.incarnation == known.entry.incarnation;
  if (same_incarnation && entry.sequence < known.entry.sequence) return DirectoryChange::kNone;
  known.missing_until.reset();
  if (known.entry == entry) return DirectoryChange::kNone;
  bool replaced = !same_incarnation || known.entry.endpoint != entry.endpoint ||
                  known.entry.service != entry.service;
  known.entry = entry;
  return replaced ? DirectoryChange::kReplaced : DirectoryChange::kUpdated;
}

DirectoryChange BackendDirectory::OnRemoved(const BackendName& id, bool after_outage,
                                            TimePoint now) {
  auto found = known_.find(id);
  if (found == known_.end()) return DirectoryChange::kNone;
  if (after_outage) {
    if (!found->second.missing_until) found->second.missing_until = now + kExpiryGrace;
    return DirectoryChange::kRetained;
  }
  known_.erase(found);
  return DirectoryChange::kRemoved;
}

std::vector<BackendName> BackendDirectory::OnAllRead(const std::set<BackendName>& present,
                                                     bool after_outage, TimePoint now) {
  std::vector<BackendName> missing;
  for (const auto& [id, known] : known_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  std::vector<BackendName> gone;
  for (const BackendName& id : missing) {
    if (OnRemoved(id, after_outage, now) == DirectoryChange::kRemoved) gone.push_back(id);
  }
  return gone;
}

std::vector<BackendName> BackendDirectory::Expire(TimePoint now) {
  std::vector<BackendName> gone;
  for (const auto& [id, known] : known_) {
    if (known.missing_until && *known.missing_until <= now) gone.push_back(id);
  }
  for (const BackendName& id : gone) known_.erase(id);
  return gone;
}

TimePoint BackendDirectory::next_expiry() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, known] : known_) {
    if (known.missing_until) next = std::min(next, *known.missing_until);
  }
  return next;
}

const BackendEntry* BackendDirectory::Find(const BackendName& id) const {
  auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second.entry;
}

}  // namespace damaskroute
