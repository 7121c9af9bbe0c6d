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

/// Time after the store's return within which entries that lapsed meanwhile reappear; an entry that
/// is missing after it is gone. Source: the platform's description of its store.
inline constexpr std::chrono::milliseconds kLapseGrace{2200};

/// Decides which backend servers exist, from their entries in the store. While the store cannot be
/// read, what was known stays. An entry that is found missing when the store returns after an
/// outage may only have lapsed, so it stays for `kLapseGrace` more.
class BackendDirectory {
 public:
  /// An entry was written. Entries that are older than the known one have no effect.
  DirectoryChange OnEntry(const BackendEntry& entry);

  /// An entry was removed. `after_outage`: while the store could not be read.
  DirectoryChange OnRemoved(const BackendName& id, bool after_outage, TimePoint now);

  /// All entries were read. Servers that are not in `present` are treated as removed; gives those
  /// that are gone now.
  std::vector<BackendName> OnAllRead(const std::set<BackendName>& present, bool after_outage,
                                     TimePoint now);

  /// Drops the entries whose grace has ended; gives their ids.
  std::vector<BackendName> Expire(TimePoint now);

  /// When `Expire` has work next; `TimePoint::max()` if nothing waits.
  TimePoint next_expiry() const;

  /// nullptr if the server is not known.
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
