#ifndef DAMASKROUTE_CORE_SNAPSHOT_H_
#define DAMASKROUTE_CORE_SNAPSHOT_H_

#include <atomic>
#include <memory>
#include <utility>

namespace damaskroute {

/// Immutable value that a writer replaces as a whole (read-copy-update). Readers do not wait for
/// the writer; a version stays alive for as long as a reader holds the pointer to it.
template <typename T>
class Snapshot {
 public:
  Snapshot() : value_(std::make_shared<const T>()) {}
  explicit Snapshot(T value) : value_(std::make_shared<const T>(std::move(value))) {}

  /// Current version, never null.
  std::shared_ptr<const T> Load() const { return value_.load(std::memory_order_acquire); }

  /// Publishes a new version.
  void Publish(T value) {
    value_.store(std::make_shared<const T>(std::move(value)), std::memory_order_release);
  }

 private:
  std::atomic<std::shared_ptr<const T>> value_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_SNAPSHOT_H_
