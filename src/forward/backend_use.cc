#include "damaskroute/forward/backend_use.h"

namespace damaskroute {

const char* BackendUseText(BackendUse use) {
  switch (use) {
    case BackendUse::kGood:
      break;
    case BackendUse::kCold:
      return "second: cold";
    case BackendUse::kAvoided:
      return "second: failed or shed lately";
    case BackendUse::kStalled:
      return "second: silent";
    case BackendUse::kUnreachable:
      return "last: not reached";
    case BackendUse::kNoRoom:
      return "no: it shed calls at this load";
    case BackendUse::kColdLimit:
      return "no: it is cold and has its part of calls";
    case BackendUse::kBusy:
      return "no: its connections are in use";
    case BackendUse::kClosedZone:
      return "no: its zone is closed";
    case BackendUse::kAskedToWait:
      return "no: it asked for a pause";
    case BackendUse::kDraining:
      return "no: it leaves";
    case BackendUse::kMisdirected:
      return "no: another server has its address";
  }
  return "yes";
}

}  // namespace damaskroute
