#ifndef DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_
#define DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// How a commit ended.
enum class CommitResult : std::uint8_t {
  kCommitted,    ///< The change is in force as `revision`.
  kConflict,     ///< Another change came first; nothing changed and nothing can change later.
  kUnavailable,  ///< The store did not answer; nothing changed and nothing can change later.
  kUnknown,      ///< The store did not answer after a swap was sent; it may have taken effect.
};

/// Outcome of a commit. A repeat with the same change id is safe after each of them and resolves
/// `kUnknown`.
struct CommitOutcome {
  CommitResult result = CommitResult::kUnavailable;
  Revision revision = 0;  ///< Own revision if committed, else the latest one seen, 0 if none.
  std::string detail;     ///< Readable reason, empty if committed.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_
