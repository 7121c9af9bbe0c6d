#ifndef DAMASKROUTE_STORE_MEMORY_STORE_H_
#define DAMASKROUTE_STORE_MEMORY_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "damaskroute/store/config_store.h"
#include "damaskroute/store/memory_store_faults.h"
#include "damaskroute/store/store_call_counts.h"
#include "damaskroute/store/stored_value.h"

namespace damaskroute {

/// In-memory `ConfigStore` for tests, with faults that can be injected from any thread.
class MemoryStore {
 public:
  absl::StatusOr<StoredValue> Get(const std::string& key);
  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key,
                                               std::uint64_t expected_version,
                                               const std::string& value);
  absl::StatusOr<StoredValue> Watch(const std::string& key, std::uint64_t after_version,
                                    std::chrono::milliseconds timeout);

  /// Replaces the faults. Pending watches fail at once if the store becomes `down` or `slow`.
  void SetFaults(const MemoryStoreFaults& faults);

  /// Saves all keys for `Restore`.
  void TakeBackup();

  /// Restores all keys and versions from the backup, as a platform does after data loss.
  void Restore();

  StoreCallCounts counts() const;

 private:
  using Table = std::map<std::string, StoredValue>;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Table table_;
  Table backup_;
  std::uint64_t last_version_ = 0;
  std::uint64_t backup_version_ = 0;
  MemoryStoreFaults faults_;
  StoreCallCounts counts_;
};

static_assert(ConfigStore<MemoryStore>);

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_MEMORY_STORE_H_
