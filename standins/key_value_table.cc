#include "standins/key_value_table.h"

#include <algorithm>
#include <utility>

namespace damaskroute::standins {

const StoredValue* KeyValueTable::Get(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.stored;
}

absl::StatusOr<std::uint64_t> KeyValueTable::Put(const std::string& key, std::uint64_t if_version,
                                                 std::string value, std::uint64_t lease) {
  const StoredValue* current = Get(key);
  if ((current == nullptr ? 0 : current->version) != if_version) {
    return absl::AbortedError("the version differs");
  }
  if (lease != 0 && !leases_.contains(lease)) return absl::NotFoundError("the lease has ended");
  entries_[key] = {{std::move(value), ++last_version_}, lease};
  return last_version_;
}

std::uint64_t KeyValueTable::GrantLease(TimePoint now, Duration ttl) {
  leases_[++last_lease_] = {ttl, now + ttl};
  return last_lease_;
}

bool KeyValueTable::RenewLease(std::uint64_t lease, TimePoint now) {
  auto it = leases_.find(lease);
  if (it == leases_.end() || it->second.end <= now) return false;
  it->second.end = now + it->second.ttl;
  return true;
}

std::vector<std::string> KeyValueTable::RevokeLease(std::uint64_t lease) {
  std::vector<std::string> removed_keys;
  if (leases_.erase(lease) == 0) return removed_keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) removed_keys.push_back(key);
  }
  for (const std::string& key : removed_keys) entries_.erase(key);
  return removed_keys;
}

std::vector<std::string> KeyValueTable::Expire(TimePoint now) {
  std::vector<std::uint64_t> expired_ids;
  for (const auto& [id, lease] : leases_) {
    if (lease.end <= now) expired_ids.push_back(id);
  }
  std::vector<std::string> removed_keys;
  for (std::uint64_t id : expired_ids) {
    for (std::string& key : RevokeLease(id)) removed_keys.push_back(std::move(key));
  }
  return removed_keys;
}

std::optional<TimePoint> KeyValueTable::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, lease] : leases_) next = std::min(next.value_or(lease.end), lease.end);
  return next;
}

}  // namespace damaskroute::standins
