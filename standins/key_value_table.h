#ifndef STANDINS_KEY_VALUE_TABLE_H_
#define STANDINS_KEY_VALUE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/stored_value.h"

namespace damaskroute::standins {

/// Data of the platform's key-value store: versioned values that may be bound to leases. The
/// current time is passed as a parameter. All versions come from one counter, so a key that is
/// removed and written again gets a greater version than before.
class KeyValueTable {
 public:
  /// Value of `key`, null if the key does not exist.
  const StoredValue* Get(const std::string& key) const;

  /// Writes `value` if the current version of the key is `if_version` (0: the key does not exist),
  /// binds the key to `lease` (0: none) and returns the new version. Returns Aborted on a version
  /// mismatch and NotFound if the lease has ended.
  absl::StatusOr<std::uint64_t> Put(const std::string& key, std::uint64_t if_version,
                                    std::string value, std::uint64_t lease);

  /// Grants a lease that ends at `now + ttl` and returns its id.
  std::uint64_t GrantLease(TimePoint now, Duration ttl);

  /// Extends the lease to `now + ttl`. Returns false if it has ended.
  bool RenewLease(std::uint64_t lease, TimePoint now);

  /// Ends the lease and removes its keys, which it returns.
  std::vector<std::string> RevokeLease(std::uint64_t lease);

  /// Ends all leases that have expired at `now` and removes their keys, which it returns.
  std::vector<std::string> Expire(TimePoint now);

  /// Expiry time of the lease that ends first, nullopt if there is no lease.
  std::optional<TimePoint> NextExpiry() const;

 private:
  struct Entry {
    StoredValue stored;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration ttl{0};
    TimePoint end;
  };

  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_version_ = 0;
  std::uint64_t last_lease_ = 0;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_KEY_VALUE_TABLE_H_
