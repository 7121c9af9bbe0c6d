#ifndef DAMASKROUTE_INTENT_COMMIT_RESOLVER_H_
#define DAMASKROUTE_INTENT_COMMIT_RESOLVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/intent/commit_outcome.h"
#include "damaskroute/intent/config_head.h"

namespace damaskroute {

/// A change to commit.
struct CommitRequest {
  Revision base_revision = 0;
  std::string change_id;  ///< At most 64 bytes, unique to base revision and content.
  std::string summary;    ///< At most 200 bytes.
  std::chrono::system_clock::time_point committed_at;
  std::vector<std::string> chunks;  ///< The encoded document, see `SplitChunks`.
};

/// Step of a commit: read the value of `key`.
struct ReadValue {
  std::string key;
};

/// Step of a commit: compare-and-swap of `key`.
struct SwapValue {
  std::string key;
  std::uint64_t expected_version = 0;  ///< 0: the key must not exist.
  std::string value;
};

/// Next access to the store, or the outcome of the commit.
using CommitStep = std::variant<ReadValue, SwapValue, CommitOutcome>;

/// The commit protocol as a state machine that performs no I/O itself.
///
/// Reads the head; writes the chunks that the base revision does not have, then the manifest;
/// swaps the head from base revision r to r+1. If the response to the swap is lost, the head is
/// read again: the change id of this commit at r+1 means committed, another one means conflict, and
/// if r is still in force the same swap is retried. The swap compares the version of the key, so it
/// takes effect at most once, even if the lost request arrives late. Chunks are invisible until the
/// head refers to them.
///
///     CommitResolver resolver(request);
///     while (!resolver.done()) { ... perform resolver.step(), report OnRead or OnSwapped ... }
class CommitResolver {
 public:
  /// The commit fails after more than `max_failures` failed accesses to the store.
  explicit CommitResolver(CommitRequest request, int max_failures = 8);

  bool done() const { return std::holds_alternative<CommitOutcome>(step_); }

  /// The next step; the outcome when done.
  const CommitStep& step() const { return step_; }

  /// Response to `ReadValue`: OK with value and version, or NotFound, or any other error.
  void OnRead(const absl::Status& status, const std::string& value, std::uint64_t version);

  /// Response to `SwapValue`: OK, Aborted (version conflict), Unavailable (certainly no effect) or
  /// anything else (effect unknown).
  void OnSwapped(const absl::Status& status);

  /// Number of failures so far, which determines the delay before the next step.
  int failures() const { return failures_; }

 private:
  enum class Phase : std::uint8_t { kReadHead, kReadBaseManifest, kWriteChunks, kSwapHead };

  void ReadHead();
  void OnHead(const absl::Status& status, const std::string& value, std::uint64_t version);
  void OnBaseManifest(const absl::Status& status, const std::string& value);
  void CollectWrites(const std::vector<std::string>& known);
  void WriteNextChunk();
  void SwapHead();
  bool CountFailure(const absl::Status& status);
  void Finish(CommitResult result, Revision revision, std::string detail);

  CommitRequest request_;
  std::string manifest_;
  int max_failures_;
  int failures_ = 0;
  int conflicts_ = 0;
  Phase phase_ = Phase::kReadHead;
  VersionedHead base_;
  std::vector<std::pair<std::string, std::string>> writes_;  // Key and value, in reverse order.
  bool writes_collected_ = false;
  bool swap_may_have_taken_effect_ = false;
  CommitStep step_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_COMMIT_RESOLVER_H_
