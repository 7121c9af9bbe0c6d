#ifndef DAMASKROUTE_TESTS_FAKE_CONFIG_STORE_H_
#define DAMASKROUTE_TESTS_FAKE_CONFIG_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "fmt/format.h"

namespace damaskroute {

/// Copyable in-memory store. A test can inject a fault into the next access.
class FakeConfigStore {
 public:
  struct StoredValue {
    std::string value;
    std::uint64_t version = 0;
  };
  enum class Fault {
    kNone,
    kUnavailable,   ///< The access fails without effect.
    kLostResponse,  ///< The write takes effect, its response is lost.
    kLostRequest,   ///< The write has no effect, which the caller cannot know.
    kDelayed,       ///< The response is lost; the write takes effect at `DeliverDelayedWrites`.
  };

  absl::StatusOr<StoredValue> Get(const std::string& key) {
    absl::StatusOr<StoredValue> response = Read(key);
    last_response_ = response.ok() ? fmt::format("{} {}", response->version, response->value)
                                   : response.status().ToString();
    return response;
  }

  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key, std::uint64_t expected,
                                               const std::string& value) {
    absl::StatusOr<std::uint64_t> response = Swap(key, expected, value);
    last_response_ = response.ok() ? "ok" : response.status().ToString();
    return response;
  }

  /// Text of the last response. The state of a caller is a function of the responses it received.
  const std::string& last_response() const { return last_response_; }

  /// Text of the complete state on which later accesses depend.
  std::string State() const {
    std::string state;
    for (const auto& [key, stored] : values_) {
      state += fmt::format("{} {} {}\n", key, stored.version, stored.value);
    }
    for (const Write& write : delayed_writes_) {
      state += fmt::format("late {} {} {}\n", write.key, write.expected, write.value);
    }
    return state;
  }

  void set_fault(Fault fault) { fault_ = fault; }

  /// Applies the delayed writes.
  void DeliverDelayedWrites() {
    for (const Write& write : delayed_writes_) (void)Apply(write.key, write.expected, write.value);
    delayed_writes_.clear();
  }
  bool has_delayed_writes() const { return !delayed_writes_.empty(); }

  /// Number of writes that took effect, by key.
  const std::map<std::string, int>& writes() const { return writes_; }
  const std::map<std::string, StoredValue>& values() const { return values_; }

 private:
  struct Write {
    std::string key;
    std::uint64_t expected;
    std::string value;
  };

  absl::StatusOr<StoredValue> Read(const std::string& key) {
    if (TakeFault() != Fault::kNone) return absl::UnavailableError("store down");
    auto it = values_.find(key);
    if (it == values_.end()) return absl::NotFoundError(key);
    return it->second;
  }

  absl::StatusOr<std::uint64_t> Swap(const std::string& key, std::uint64_t expected,
                                     const std::string& value) {
    switch (TakeFault()) {
      case Fault::kUnavailable:
        return absl::UnavailableError("store down");
      case Fault::kLostRequest:
        return absl::UnknownError("timeout");
      case Fault::kDelayed:
        delayed_writes_.push_back({key, expected, value});
        return absl::UnknownError("timeout");
      case Fault::kLostResponse:
        (void)Apply(key, expected, value);
        return absl::UnknownError("timeout");
      case Fault::kNone:
        break;
    }
    return Apply(key, expected, value);
  }

  Fault TakeFault() {
    Fault fault = fault_;
    fault_ = Fault::kNone;
    return fault;
  }

  absl::StatusOr<std::uint64_t> Apply(const std::string& key, std::uint64_t expected,
                                      const std::string& value) {
    auto it = values_.find(key);
    std::uint64_t version = it == values_.end() ? 0 : it->second.version;
    if (version != expected) return absl::AbortedError("version conflict");
    values_[key] = {value, version + 1};
    ++writes_[key];
    return version + 1;
  }

  std::map<std::string, StoredValue> values_;
  std::map<std::string, int> writes_;
  std::vector<Write> delayed_writes_;
  std::string last_response_;
  Fault fault_ = Fault::kNone;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_FAKE_CONFIG_STORE_H_
