#ifndef DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_
#define DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_

#include <vector>

#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Returns whether `self` is one of the two readers of its zone, the nodes that watch the store for
/// their peers: those with the lowest rendezvous hashes among itself and the live members. Nodes
/// with differing member lists may elect additional readers, but never fewer while a zone has live
/// nodes.
bool IsConfigReader(const Member& self, const std::vector<Member>& members);

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_
