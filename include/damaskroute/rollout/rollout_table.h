#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_TABLE_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/forward/version_gate.h"
#include "damaskroute/rollout/rollout_decider.h"

namespace damaskroute {

/// A node's rollouts of all services. Empty until the store has an order or a record.
class RolloutTable : public VersionGate {
 public:
  /// `process` differs after a restart of the node.
  RolloutTable(NodeName node, std::uint64_t process) : node_(std::move(node)), process_(process) {}

  /// Applies to services whose first order or record follows.
  void SetOptions(const RolloutOptions& options) { options_ = options; }

  void SetNodes(const std::set<NodeName>& live, const std::vector<NodeName>& counted);

  bool empty() const { return deciders_.empty(); }
  std::map<ServiceName, RolloutDecider>& deciders() { return deciders_; }
  const std::map<ServiceName, RolloutDecider>& deciders() const { return deciders_; }

  /// The decider of a service, which is created if necessary.
  RolloutDecider& At(const ServiceName& service);
  /// Null if there is none.
  RolloutDecider* Find(const ServiceName& service);

  bool Allows(const ServiceName& service, const std::string& version, TimePoint now) const override;
  VersionPreference PreferenceFor(const ServiceName& service, bool repeated,
                                  TimePoint now) const override;

 private:
  const NodeName node_;
  const std::uint64_t process_;
  RolloutOptions options_;
  std::set<NodeName> live_;
  std::vector<NodeName> counted_;
  std::map<ServiceName, RolloutDecider> deciders_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_TABLE_H_
