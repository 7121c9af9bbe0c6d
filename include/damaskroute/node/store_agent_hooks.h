#ifndef DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_
#define DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// What a `StoreAgent` tells and asks its node. Called on the agent's threads; may block for the
/// control loop.
struct StoreAgentHooks {
  std::function<bool()> is_reader;
  std::function<void(Revision, std::string document)> on_config;
  std::function<void(Revision, std::string document)> on_roster;
  std::function<void()> on_contact;

  /// The own seat is in the roster. `had_predecessor` says whether an earlier process of this node
  /// had a seat before.
  std::function<void(bool had_predecessor)> on_seat;

  /// The live members without this node, as seats.
  std::function<std::vector<Seat>()> live_members;

  /// The installed roster; never null.
  std::function<std::shared_ptr<const Roster>()> roster;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_
