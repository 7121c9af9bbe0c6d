#ifndef DAMASKROUTE_PEER_MEMBERS_PULL_H_
#define DAMASKROUTE_PEER_MEMBERS_PULL_H_

#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Requests the receiver's member table and introduces the sender.
struct MembersPull {
  Member sender;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MEMBERS_PULL_H_
