#ifndef DAMASKROUTE_FORWARD_BACKEND_USE_H_
#define DAMASKROUTE_FORWARD_BACKEND_USE_H_

#include <cstdint>

namespace damaskroute {

/// Whether a backend server may be called now, and what speaks against it.
enum class BackendUse : std::uint8_t {
  kGood,
  kCold,         ///< In cold start, with room in this node's part of its limit.
  kAvoided,      ///< Calls failed or were shed lately.
  kStalled,      ///< Nothing was heard for unusually long while calls wait.
  kUnreachable,  ///< No connection was found lately.
  // Not to be called:
  kNoRoom,     ///< It shed calls at this load.
  kColdLimit,  ///< In cold start, and this node's part of its limit is used up.
  kBusy,       ///< This node's part of its connections is in use.
  kClosedZone,
  kAskedToWait,  ///< It asked for a pause.
  kDraining,     ///< It leaves, by its entry or by one of its answers.
  kMisdirected,  ///< Another server has its address.
};

/// Whether a server may be called at all.
inline bool MayBeCalled(BackendUse use) { return use <= BackendUse::kUnreachable; }

/// The same in a few words, for operators.
const char* BackendUseText(BackendUse use);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_USE_H_
