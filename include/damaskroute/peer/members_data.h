#ifndef DAMASKROUTE_PEER_MEMBERS_DATA_H_
#define DAMASKROUTE_PEER_MEMBERS_DATA_H_

#include <vector>

#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Reply to a `MembersPull`: the whole member table, including the sender.
struct MembersData {
  std::vector<Member> members;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MEMBERS_DATA_H_
