#ifndef DAMASKROUTE_RELAY_CHANGE_LOG_H_
#define DAMASKROUTE_RELAY_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// The last changes of the store that a node has seen, for the nodes that follow it instead of the
/// store. Bounded in memory.
class ChangeLog {
 public:
  /// Bytes of keys and values that are kept: several configurations, or the entries of a thousand
  /// backend servers.
  static constexpr std::size_t kMaxBytes = std::size_t{512} << 10;

  /// Everything was read as of `revision`; changes before it are not known.
  void Restart(std::uint64_t revision);

  /// Changes in order that lead up to `as_of`. `after_outage`: what is removed may only have lapsed
  /// while the store was away.
  void Append(const std::vector<StoreItem>& items, std::uint64_t as_of, bool after_outage);

  /// Changes after `revision`, and what they lead up to; nothing if some of them are not known.
  std::optional<StorePage> After(std::uint64_t revision) const;

  /// Revision that the log leads up to; 0 before the first `Restart`.
  std::uint64_t as_of() const { return as_of_; }

 private:
  struct Entry {
    StoreItem item;
    bool after_outage = false;
  };

  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;
  std::uint64_t start_ = 0;  // Changes up to this revision are not known.
  std::uint64_t as_of_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_CHANGE_LOG_H_
