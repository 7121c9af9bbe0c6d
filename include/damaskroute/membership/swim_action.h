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

/// Send a `MembersPull` over TCP, and pass the reply to `SwimState::OnMembersData`.
struct PullMembers {
  Endpoint from;
};

/// A member was added or changed; carries its new state.
struct MemberChanged {
  Member member;
};

/// A member that was dead or had left was removed from the table.
struct MemberForgotten {
  NodeName node;
};

/// A live member reported the revisions that it has installed.
struct RevisionsSeen {
  NodeName node;
  Endpoint endpoint;
  Revision config_revision = 0;
  Revision roster_revision = 0;
  TimePoint store_contact;  ///< Last store contact of any node, as far as the member knows.
};

/// Another process runs, or ran, under this node's name with a greater incarnation. The node must
/// exit, or restart with an incarnation greater than the given one.
struct SelfSuperseded {
  Incarnation incarnation = 0;
};

/// Action that the owner of a `SwimState` must carry out.
using SwimAction = std::variant<SendDatagram, PullMembers, MemberChanged, MemberForgotten,
                                RevisionsSeen, SelfSuperseded>;

/// Actions in the order of execution.
using SwimActions = std::vector<SwimAction>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_ACTION_H_
