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

/// Data of the platform's key-value store: versioned values, some bound to leases. Time comes in
/// as a parameter. Versions are drawn from one counter, so a key that vanished and returns has a
/// greater version than before.
class KeyValueTable {
 public:
  /// Null if the key does not exist.
  const StoredValue* Get(const std::string& key) const;

  /// Writes if the current version is `if_version` (0: none) and returns the new version. `lease`
  /// 0 binds the key to no lease. Aborted on another version, NotFound if the lease has ended.
  absl::StatusOr<std::uint64_t> Put(const std::string& key, std::uint64_t if_version,
                                    std::string value, std::uint64_t lease);

  /// Grants a lease that ends at `now + ttl`, and returns its id.
  std::uint64_t GrantLease(TimePoint now, Duration ttl);

  /// Extends the lease to `now + ttl`. False if it has ended.
  bool RenewLease(std::uint64_t lease, TimePoint now);

  /// Ends the lease. Returns the keys that vanished.
  std::vector<std::string> EndLease(std::uint64_t lease);

  /// Ends all leases due at `now`. Returns the keys that vanished.
  std::vector<std::string> Expire(TimePoint now);

  /// When the next lease ends, nullopt if there is none.
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
