#ifndef DAMASKROUTE_ROUTING_BACKEND_DIRECTORY_H_
#define DAMASKROUTE_ROUTING_BACKEND_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/routing/backend_entry.h"
#include "damaskroute/routing/directory_change.h"

namespace damaskroute {

/// Time after the store's recovery within which entries that expired in the outage are written
/// again; an entry that is still missing after it is removed. From the platform's description of
/// its store.
inline constexpr std::chrono::milliseconds kExpiryGrace{2200};

/// Tracks which backend servers exist, from their entries in the store. While the store is
/// unavailable, the known servers are retained. An entry that is missing when the store recovers
/// from an outage may only have expired, so it is retained for `kExpiryGrace`.
class BackendDirectory {
 public:
  /// Applies a written entry. Entries older than the known one have no effect.
  DirectoryChange OnEntry(const BackendEntry& entry);

  /// Applies the removal of an entry. `after_outage`: it was removed while the store was
  /// unavailable.
  DirectoryChange OnRemoved(const BackendName& id, bool after_outage, TimePoint now);

  /// Applies a complete read. Servers that are not in `present` are treated as removed; returns
  /// those that no longer exist.
  std::vector<BackendName> OnAllRead(const std::set<BackendName>& present, bool after_outage,
                                     TimePoint now);

  /// Removes the entries whose grace period has ended; returns their ids.
  std::vector<BackendName> Expire(TimePoint now);

  /// When the next grace period ends; `TimePoint::max()` if none is pending.
  TimePoint next_expiry() const;

  /// Returns nullptr if the server is unknown.
  const BackendEntry* Find(const BackendName& id) const;

  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    BackendEntry entry;
    std::optional<TimePoint> missing_until;
  };
  std::map<BackendName, Known> known_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_BACKEND_DIRECTORY_H_
