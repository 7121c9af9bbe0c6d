#ifndef DAMASKROUTE_FORWARD_BACKEND_ELIGIBILITY_H_
#define DAMASKROUTE_FORWARD_BACKEND_ELIGIBILITY_H_

#include <cstdint>

namespace damaskroute {

/// Whether a backend server may be called, and what limits its use. The order matters: see
/// `IsEligible`.
enum class BackendEligibility : std::uint8_t {
  kGood,
  kCold,         ///< In cold start, below this node's share of its limit.
  kAvoided,      ///< Calls failed or were shed recently.
  kStalled,      ///< Unresponsive for unusually long with calls in progress.
  kUnreachable,  ///< Recent attempts to connect failed.
  // Not eligible:
  kNoCapacity,  ///< It shed calls at this concurrency.
  kColdLimit,   ///< In cold start, and this node's share of its limit is used up.
  kBusy,        ///< This node's share of its connections is in use.
  kRateLimit,   ///< This node's share of the request rate that it states is used up.
  kClosedZone,
  kBackoffRequested,  ///< It requested a backoff (Retry-After).
  kDraining,          ///< Leaving, by its entry or one of its responses.
  kMisdirected,       ///< Another server has its address.
  kOtherVersion,      ///< Its version gets no calls now, because of a rollout.
};

/// Whether a server may be called.
inline bool IsEligible(BackendEligibility eligibility) {
  return eligibility <= BackendEligibility::kUnreachable;
}

/// Short description for operators.
const char* BackendEligibilityText(BackendEligibility eligibility);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_ELIGIBILITY_H_
