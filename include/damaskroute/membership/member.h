#ifndef DAMASKROUTE_MEMBERSHIP_MEMBER_H_
#define DAMASKROUTE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <tuple>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// State of a member. At equal incarnation and refutation, a greater state overrides a smaller one.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  ///< Did not respond; becomes dead unless it refutes the suspicion in time.
  kDead,
  kLeft,  ///< Announced that it is shutting down.
};

/// State of a member as a node knows it, and the unit of dissemination.
struct Member {
  NodeName node;
  ZoneName zone;
  Endpoint endpoint;  ///< Address of the peer port, for TCP and UDP.
  Incarnation incarnation = 0;
  /// Incremented by the member each time it refutes a suspicion.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;

  /// Whether the member is alive or merely suspected.
  bool IsLive() const { return state <= MemberState::kSuspect; }

  friend bool operator==(const Member&, const Member&) = default;
};

/// Whether `a` is a later update than `b` of the same member. This is a total order, so all nodes
/// converge to the same state whatever the order of arrival.
inline bool Supersedes(const Member& a, const Member& b) {
  return std::tie(a.incarnation, a.refutation, a.state) >
         std::tie(b.incarnation, b.refutation, b.state);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_MEMBER_H_
