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

/// Next access to the store.
struct ReadValue {
  std::string key;
};
struct SwapValue {
  std::string key;
  std::uint64_t expected_version = 0;  ///< 0: the key must not exist.
  std::string value;
};
using CommitStep = std::variant<ReadValue, SwapValue, CommitOutcome>;

/// The commit protocol as a state machine without input or output.
///
/// Reads the head; writes the chunks that the base revision does not have, then the chunk list;
/// swaps the head from base revision r to r+1. A lost answer to the swap is resolved by reading
/// the head: own change id at r+1 means committed, another one means conflict, and r still in
/// force means that the same swap is sent again. The swap compares the version of the key, so it
/// takes effect at most once, even when the lost one arrives late. Chunks are invisible until the
/// head names them.
///
///     CommitResolver resolver(request);
///     while (!resolver.done()) { ... perform resolver.step(), report OnRead or OnSwapped ... }
class CommitResolver {
 public:
  /// `max_failures`: answers Unavailable or Unknown after which the commit gives up.
  explicit CommitResolver(CommitRequest request, int max_failures = 8);

  bool done() const { return std::holds_alternative<CommitOutcome>(step_); }

  /// What to do next; the outcome when done.
  const CommitStep& step() const { return step_; }

  /// Answer to `ReadValue`: OK with value and version, or NotFound, or any other error.
  void OnRead(const absl::Status& status, const std::string& value, std::uint64_t version);

  /// Answer to `SwapValue`: OK, Aborted (version conflict), Unavailable (certainly no effect) or
  /// anything else (effect unknown).
  void OnSwapped(const absl::Status& status);

  /// Failures so far, for the pause before the next step.
  int failures() const { return failures_; }

 private:
  enum class Phase : std::uint8_t { kReadHead, kReadBaseManifest, kWriteChunks, kSwapHead };

  void ReadHead();
  void OnHead(const absl::Status& status, const std::string& value, std::uint64_t version);
  void OnBaseManifest(const absl::Status& status, const std::string& value);
  void ListWrites(const std::vector<std::string>& known);
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
  std::vector<std::pair<std::string, std::string>> writes_;  // Key and value, the last one next.
  bool writes_listed_ = false;
  bool swap_may_have_run_ = false;
  CommitStep step_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_COMMIT_RESOLVER_H_
