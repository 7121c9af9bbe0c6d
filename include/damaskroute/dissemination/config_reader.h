#ifndef DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_
#define DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_

#include <vector>

#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Whether this node is one of the two in its zone that watch the store: the lowest two by
/// rendezvous hash among itself and the live members. Different views may give additional readers,
/// never fewer while a zone has live nodes.
bool IsConfigReader(const Member& self, const std::vector<Member>& members);

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_CONFIG_READER_H_
