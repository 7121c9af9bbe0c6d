#include "damaskroute/routing/backend_directory.h"

#include <algorithm>

namespace damaskroute {

DirectoryChange BackendDirectory::OnEntry(const BackendEntry& entry, TimePoint now) {
  if (IsDelayed(entry, now)) return DirectoryChange::kDelayed;
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
  if (auto removed = removed_.find(id); removed != removed_.end()) removed->second.returned.reset();
  auto found = known_.find(id);
  if (found == known_.end()) return DirectoryChange::kNone;
  if (after_outage) {
    if (!found->second.missing_until) found->second.missing_until = now + kExpiryGrace;
    return DirectoryChange::kRetained;
  }
  Remove(found, now);
  return DirectoryChange::kRemoved;
}

std::vector<BackendName> BackendDirectory::OnAllRead(const std::set<BackendName>& present,
                                                     bool after_outage, TimePoint now) {
  reading_copy_ = false;
  std::vector<BackendName> missing;
  for (const auto& [id, known] : known_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (auto& [id, removed] : removed_) {
    if (!present.contains(id)) removed.returned.reset();
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
  for (const BackendName& id : gone) Remove(known_.find(id), now);
  return gone;
}

std::vector<BackendEntry> BackendDirectory::TakeReturned(TimePoint now) {
  std::vector<BackendEntry> entries;
  for (auto it = removed_.begin(); it != removed_.end();) {
    Removed& removed = it->second;
    if (!removed.returned || now < removed.use_at) {
      ++it;
      continue;
    }
    entries.push_back(*std::move(removed.returned));
    it = removed_.erase(it);
  }
  return entries;
}

void BackendDirectory::Remove(std::map<BackendName, Known>::iterator known, TimePoint now) {
  std::erase_if(removed_, [now](const auto& item) {
    return !item.second.returned && item.second.forget_at <= now;
  });
  const BackendEntry& entry = known->second.entry;
  removed_.insert_or_assign(
      known->first,
      Removed{entry.incarnation, entry.sequence, now + kRemovedEntryMemory, std::nullopt, {}});
  known_.erase(known);
}

bool BackendDirectory::IsDelayed(const BackendEntry& entry, TimePoint now) {
  auto found = removed_.find(entry.id);
  if (found == removed_.end()) return false;
  Removed& removed = found->second;
  bool newer = entry.incarnation > removed.incarnation ||
               (entry.incarnation == removed.incarnation && entry.sequence > removed.sequence);
  if (newer || !reading_copy_ || (!removed.returned && removed.forget_at <= now)) {
    removed_.erase(found);
    return false;
  }
  if (!removed.returned) removed.use_at = now + kReturnedEntryDelay;
  removed.returned = entry;
  return true;
}

TimePoint BackendDirectory::next_expiry() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, known] : known_) {
    if (known.missing_until) next = std::min(next, *known.missing_until);
  }
  for (const auto& [id, removed] : removed_) {
    if (removed.returned) next = std::min(next, removed.use_at);
  }
  return next;
}

const BackendEntry* BackendDirectory::Find(const BackendName& id) const {
  auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second.entry;
}

}  // namespace damaskroute
