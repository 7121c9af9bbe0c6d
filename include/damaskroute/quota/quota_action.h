#ifndef DAMASKROUTE_QUOTA_QUOTA_ACTION_H_
#define DAMASKROUTE_QUOTA_QUOTA_ACTION_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_message.h"

namespace damaskroute {

enum class QuotaOutcome {
  kGranted,
  kOverQuota,  ///< The coordinator has no token.
  kNoAnswer,   ///< No coordinator that holds shares answered in time.
};

/// The end of the wait of a request for a token.
struct QuotaVerdict {
  std::uint64_t waiter = 0;
  QuotaOutcome outcome = QuotaOutcome::kNoAnswer;
  Duration expires{};                       ///< Of a granted token, by the boot clock.
  std::chrono::milliseconds retry_after{};  ///< For `kOverQuota`: until there is a token.
};

struct QuotaSend {
  NodeName to;
  QuotaMessage message;
};

/// What a `QuotaClient` wants to have done.
struct QuotaActions {
  std::vector<QuotaSend> sends;
  std::vector<QuotaVerdict> verdicts;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_ACTION_H_
