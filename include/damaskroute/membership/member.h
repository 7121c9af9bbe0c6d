#ifndef DAMASKROUTE_MEMBERSHIP_MEMBER_H_
#define DAMASKROUTE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <tuple>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// State of a member. At the same incarnation and refutation, a greater state overrides a smaller.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  ///< Did not answer; is dead unless it refutes within the suspicion timeout.
  kDead,
  kLeft,  ///< Has announced its end.
};

/// What a node knows about a member, and the unit in which it is told to others.
struct Member {
  NodeName node;
  ZoneName zone;
  Endpoint endpoint;  ///< Address of the peer port, for TCP and UDP.
  Incarnation incarnation = 0;
  /// Counted up by the member each time it contradicts a suspicion.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;

  /// Whether the member takes part: it is alive or only suspected.
  bool IsLive() const { return state <= MemberState::kSuspect; }

  friend bool operator==(const Member&, const Member&) = default;
};

/// Whether `a` is later knowledge than `b` about the same member. A total order, so all nodes end
/// with the same knowledge whatever the order of arrival.
inline bool Supersedes(const Member& a, const Member& b) {
  return std::tie(a.incarnation, a.refutation, a.state) >
         std::tie(b.incarnation, b.refutation, b.state);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_MEMBER_H_
