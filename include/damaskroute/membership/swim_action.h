#ifndef DAMASKROUTE_MEMBERSHIP_SWIM_ACTION_H_
#define DAMASKROUTE_MEMBERSHIP_SWIM_ACTION_H_

#include <variant>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/membership/member.h"
#include "damaskroute/peer/peer_datagram.h"

namespace damaskroute {

/// Send a datagram.
struct SendDatagram {
  Endpoint to;
  PeerDatagram datagram;
};

/// Send a `MembersPull` over TCP.
struct PullMembers {
  Endpoint from;
};

/// A member is new or has changed; its new state is given.
struct MemberChanged {
  Member member;
};

/// The table no longer knows a member that was dead or had left.
struct MemberForgotten {
  NodeName node;
};

/// A live member has these revisions.
struct RevisionsSeen {
  NodeName node;
  Endpoint endpoint;
  Revision config_revision = 0;
  Revision roster_revision = 0;
  TimePoint store_contact;  ///< Last contact of the store with any node, as the member knows it.
};

/// Another process runs, or ran, under this node's name with a greater incarnation. The node must
/// end or start again with an incarnation greater than the given one.
struct SelfSuperseded {
  Incarnation incarnation = 0;
};

/// What the owner of a `SwimState` has to do.
using SwimAction = std::variant<SendDatagram, PullMembers, MemberChanged, MemberForgotten,
                                RevisionsSeen, SelfSuperseded>;

/// Actions in the order in which they are to be done.
using SwimActions = std::vector<SwimAction>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_ACTION_H_
