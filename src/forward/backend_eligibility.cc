#include "damaskroute/forward/backend_eligibility.h"

namespace damaskroute {

const char* BackendEligibilityText(BackendEligibility eligibility) {
  switch (eligibility) {
    case BackendEligibility::kGood:
      break;
    case BackendEligibility::kCold:
      return "second: cold";
    case BackendEligibility::kAvoided:
      return "second: failed or shed calls recently";
    case BackendEligibility::kStalled:
      return "second: unresponsive";
    case BackendEligibility::kUnreachable:
      return "last: unreachable";
    case BackendEligibility::kNoCapacity:
      return "no: it shed calls at this concurrency";
    case BackendEligibility::kColdLimit:
      return "no: it is cold and at its call limit";
    case BackendEligibility::kBusy:
      return "no: its connections are in use";
    case BackendEligibility::kRateLimit:
      return "no: this node's share of its rate limit is used up";
    case BackendEligibility::kClosedZone:
      return "no: its zone is closed";
    case BackendEligibility::kBackoffRequested:
      return "no: it requested a backoff";
    case BackendEligibility::kDraining:
      return "no: it is leaving";
    case BackendEligibility::kMisdirected:
      return "no: another server has its address";
    case BackendEligibility::kOtherVersion:
      return "no: its version gets no calls now";
  }
  return "yes";
}

}  // namespace damaskroute
