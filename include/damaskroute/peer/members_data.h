#ifndef DAMASKROUTE_PEER_MEMBERS_DATA_H_
#define DAMASKROUTE_PEER_MEMBERS_DATA_H_

#include <vector>

#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Answer to a `MembersPull`: the whole member table, the sender included.
struct MembersData {
  std::vector<Member> members;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MEMBERS_DATA_H_
