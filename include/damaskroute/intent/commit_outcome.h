#ifndef DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_
#define DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Result of a commit.
enum class CommitResult : std::uint8_t {
  kCommitted,    ///< The change is in force as `revision`.
  kConflict,     ///< Another change was committed first; this one has no effect, now or later.
  kUnavailable,  ///< The store did not respond; the change has no effect, now or later.
  kUnknown,      ///< The store did not respond to a swap, which may have taken effect.
};

/// Outcome of a commit. Committing again with the same change id is safe after each result and
/// resolves `kUnknown`.
struct CommitOutcome {
  CommitResult result = CommitResult::kUnavailable;
  Revision revision = 0;  ///< The new revision if committed, else the latest one seen, 0 if none.
  std::string detail;     ///< Reason for operators, empty if committed.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_COMMIT_OUTCOME_H_
