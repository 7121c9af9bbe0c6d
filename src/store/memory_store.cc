#include "damaskroute/store/memory_store.h"

#include <algorithm>

namespace damaskroute {

absl::StatusOr<StoredValue> MemoryStore::Get(const std::string& key) {
  std::lock_guard lock(mutex_);
  ++counts_.reads;
  if (faults_.down || faults_.slow) return absl::UnavailableError("the store cannot be read");
  auto it = table_.find(key);
  if (it == table_.end()) return absl::NotFoundError("no such key");
  return it->second;
}

absl::StatusOr<std::uint64_t> MemoryStore::CompareAndSwap(const std::string& key,
                                                          std::uint64_t expected_version,
                                                          const std::string& value) {
  std::lock_guard lock(mutex_);
  if (value.size() > kMaxStoredValueSize) {
    return absl::InvalidArgumentError("the value is too large");
  }
  ++counts_.writes;
  if (faults_.down) return absl::UnavailableError("the store is down");
  if (faults_.slow) return absl::UnknownError("no answer before the deadline");
  auto it = table_.find(key);
  std::uint64_t current = it == table_.end() ? 0 : it->second.version;
  if (current == expected_version) {
    table_[key] = {value, ++last_version_};
    changed_.notify_all();
  }
  if (faults_.lost_responses > 0) {
    --faults_.lost_responses;
    return absl::UnknownError("the answer was lost");
  }
  if (current != expected_version) return absl::AbortedError("the version differs");
  return last_version_;
}

absl::StatusOr<StoredValue> MemoryStore::Watch(const std::string& key, std::uint64_t after_version,
                                               std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  ++counts_.watches;
  auto end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    if (faults_.down || faults_.slow) return absl::UnavailableError("the store cannot be read");
    auto it = table_.find(key);
    if (it == table_.end() && after_version > 0) return absl::NotFoundError("no such key");
    if (it != table_.end() && it->second.version > after_version) return it->second;
    if (changed_.wait_until(lock, end) == std::cv_status::timeout) {
      return absl::DeadlineExceededError("no newer version");
    }
  }
}

void MemoryStore::SetFaults(const MemoryStoreFaults& faults) {
  std::lock_guard lock(mutex_);
  faults_ = faults;
  changed_.notify_all();
}

void MemoryStore::TakeBackup() {
  std::lock_guard lock(mutex_);
  backup_ = table_;
  backup_version_ = last_version_;
}

void MemoryStore::Restore() {
  std::lock_guard lock(mutex_);
  table_ = backup_;
  last_version_ = backup_version_;
  changed_.notify_all();
}

StoreCallCounts MemoryStore::counts() const {
  std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace damaskroute
