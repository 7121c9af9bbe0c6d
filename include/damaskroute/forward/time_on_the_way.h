#ifndef DAMASKROUTE_FORWARD_TIME_ON_THE_WAY_H_
#define DAMASKROUTE_FORWARD_TIME_ON_THE_WAY_H_

#include <chrono>

#include "damaskroute/core/time.h"
#include "damaskroute/http/caller_way.h"

namespace damaskroute {

/// The part of a caller's wait that this node does not see: opening the connection, the request's
/// way here and the answer's way back. At most half of `objective`, as a lost packet makes the
/// measured round trip far too long.
Duration TimeOnTheWay(const CallerWay& way, std::chrono::milliseconds objective);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TIME_ON_THE_WAY_H_
