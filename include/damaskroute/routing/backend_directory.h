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

/// How long the last entry of a removed server is remembered. The store may be restored from a copy
/// some seconds old, in which the server still has an entry.
inline constexpr std::chrono::seconds kRemovedEntryMemory{60};

/// How long an entry of a removed server that is not newer than its last one is not used. The
/// store removes an entry after three missed heartbeats of about one second each, so by then the
/// server is alive if the entry is still there.
inline constexpr std::chrono::seconds kReturnedEntryDelay{6};

/// Tracks which backend servers exist, from their entries in the store. While the store is
/// unavailable, the known servers are retained. An entry that is missing when the store recovers
/// from an outage may only have expired, so it is retained for `kExpiryGrace`. When the store was
/// restored from an older copy, the entry of a removed server in that copy is used only after
/// `kReturnedEntryDelay`, or as soon as the server writes it again.
class BackendDirectory {
 public:
  /// The store was restored from an older copy: all entries up to the next complete read are from
  /// that copy.
  void OnStoreRestored() { reading_copy_ = true; }

  /// Applies a written entry. Entries older than the known one have no effect.
  DirectoryChange OnEntry(const BackendEntry& entry, TimePoint now);

  /// Applies the removal of an entry. `after_outage`: it was removed while the store was
  /// unavailable.
  DirectoryChange OnRemoved(const BackendName& id, bool after_outage, TimePoint now);

  /// Applies a complete read. Servers that are not in `present` are treated as removed; returns
  /// those that no longer exist.
  std::vector<BackendName> OnAllRead(const std::set<BackendName>& present, bool after_outage,
                                     TimePoint now);

  /// Removes the entries whose grace period has ended; returns their ids.
  std::vector<BackendName> Expire(TimePoint now);

  /// Returns the entries of removed servers whose delay has ended. `OnEntry` then accepts them.
  std::vector<BackendEntry> TakeReturned(TimePoint now);

  /// When the next grace period or delay ends; `TimePoint::max()` if none is pending.
  TimePoint next_expiry() const;

  /// Returns nullptr if the server is unknown.
  const BackendEntry* Find(const BackendName& id) const;

  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    BackendEntry entry;
    std::optional<TimePoint> missing_until;
  };
  struct Removed {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    TimePoint forget_at;
    std::optional<BackendEntry> returned;
    TimePoint use_at;  // With `returned`.
  };

  void Remove(std::map<BackendName, Known>::iterator known, TimePoint now);
  bool IsDelayed(const BackendEntry& entry, TimePoint now);

  std::map<BackendName, Known> known_;
  std::map<BackendName, Removed> removed_;
  bool reading_copy_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_BACKEND_DIRECTORY_H_
