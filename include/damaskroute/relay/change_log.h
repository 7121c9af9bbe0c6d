#ifndef DAMASKROUTE_RELAY_CHANGE_LOG_H_
#define DAMASKROUTE_RELAY_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// The latest changes of the store that a node has received, for the nodes that follow it instead
/// of the store. Bounded in memory.
class ChangeLog {
 public:
  /// Limit of the retained keys and values in bytes: several configurations, or the entries of a
  /// thousand backend servers.
  static constexpr std::size_t kMaxBytes = std::size_t{512} << 10;

  /// Resets the log after a complete read as of `revision` in an era of the store; earlier changes
  /// are unknown.
  void Restart(std::uint64_t revision, std::uint64_t era);

  /// Appends changes in order, up to revision `as_of`. `after_outage`: removed entries may only
  /// have expired while the store was unavailable.
  void Append(const std::vector<StoreItem>& items, std::uint64_t as_of, bool after_outage);

  /// Changes after `revision` of the log's era and the revision that they lead to; nullopt if some
  /// of them are unknown.
  std::optional<StorePage> After(std::uint64_t revision) const;

  /// Latest revision that the log covers; 0 before the first `Restart`.
  std::uint64_t as_of() const { return as_of_; }

  /// Era of the store to which all changes in the log belong.
  std::uint64_t era() const { return era_; }

 private:
  struct Entry {
    StoreItem item;
    bool after_outage = false;
  };

  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;
  std::uint64_t start_ = 0;  // Changes up to this revision are unknown.
  std::uint64_t as_of_ = 0;
  std::uint64_t era_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_CHANGE_LOG_H_
