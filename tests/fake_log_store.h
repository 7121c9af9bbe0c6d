#ifndef DAMASKROUTE_TESTS_FAKE_LOG_STORE_H_
#define DAMASKROUTE_TESTS_FAKE_LOG_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "fmt/format.h"

namespace damaskroute {

/// Store in memory, copyable, whose next access fails as the test says.
class FakeLogStore {
 public:
  struct StoredValue {
    std::string value;
    std::uint64_t version = 0;
  };
  enum class Fault {
    kNone,
    kUnavailable,  ///< No effect.
    kLostAnswer,   ///< Takes effect, the answer is lost.
    kLostRequest,  ///< No effect, but the caller cannot know.
    kLate,         ///< The answer is lost; takes effect at `DeliverLate`.
  };

  absl::StatusOr<StoredValue> Get(const std::string& key) {
    absl::StatusOr<StoredValue> answer = Read(key);
    last_answer_ = answer.ok() ? fmt::format("{} {}", answer->version, answer->value)
                               : answer.status().ToString();
    return answer;
  }

  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key, std::uint64_t expected,
                                               const std::string& value) {
    absl::StatusOr<std::uint64_t> answer = Swap(key, expected, value);
    last_answer_ = answer.ok() ? "ok" : answer.status().ToString();
    return answer;
  }

  /// Text of the last answer. A caller's state is a function of the answers it got.
  const std::string& last_answer() const { return last_answer_; }

  /// Text of everything that later accesses depend on.
  std::string State() const {
    std::string state;
    for (const auto& [key, stored] : values_) {
      state += fmt::format("{} {} {}\n", key, stored.version, stored.value);
    }
    for (const Write& write : late_) {
      state += fmt::format("late {} {} {}\n", write.key, write.expected, write.value);
    }
    return state;
  }

  void set_fault(Fault fault) { fault_ = fault; }

  /// Delivers the writes that are still under way.
  void DeliverLate() {
    for (const Write& write : late_) (void)Apply(write.key, write.expected, write.value);
    late_.clear();
  }
  bool has_late() const { return !late_.empty(); }

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
      case Fault::kLate:
        late_.push_back({key, expected, value});
        return absl::UnknownError("timeout");
      case Fault::kLostAnswer:
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
  std::vector<Write> late_;
  std::string last_answer_;
  Fault fault_ = Fault::kNone;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_FAKE_LOG_STORE_H_
