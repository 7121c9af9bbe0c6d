#ifndef DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_
#define DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Callbacks from a `StoreAgent` to its node. They run on the agent's threads and may block until
/// the control loop responds.
struct StoreAgentHooks {
  std::function<bool()> is_reader;
  std::function<void(Revision, std::string document)> on_config;
  std::function<void(Revision, std::string document)> on_roster;
  std::function<void()> on_store_contact;

  /// This node's entry is in the roster. `had_predecessor` tells whether an earlier process of this
  /// node had an entry.
  std::function<void(bool had_predecessor)> on_local_entry_added;

  /// The live members other than this node, as roster entries.
  std::function<std::vector<RosterEntry>()> live_members;

  /// The installed roster; never null.
  std::function<std::shared_ptr<const Roster>()> roster;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_AGENT_HOOKS_H_
