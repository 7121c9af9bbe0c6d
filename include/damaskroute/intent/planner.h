#ifndef DAMASKROUTE_INTENT_PLANNER_H_
#define DAMASKROUTE_INTENT_PLANNER_H_

#include <map>

#include "absl/status/statusor.h"
#include "damaskroute/intent/plan.h"

namespace damaskroute {

/// Parameters of `Planner`.
struct PlannerSettings {
  /// Fraction of a service's slots assumed to be busy if there is no measurement. Zone changes are
  /// specified for 60% load.
  double assumed_load = 0.6;
  /// Fraction of busy slots above which a service counts as overloaded.
  double overload_threshold = 0.95;
};

/// Average number of busy slots by service, as measured by the node.
using BusySlots = std::map<ServiceName, double>;

/// Creates plans. Stateless: the same base revision and content give the same plan id on each node.
class Planner {
 public:
  explicit Planner(PlannerSettings settings = {}) : settings_(settings) {}

  /// The plan that changes `base` into `declared`. Needs an override if it removes a service,
  /// leaves a service without a backend server that accepts work, or reduces the capacity of a
  /// service that is then overloaded. InvalidArgument if `declared` cannot be encoded.
  absl::StatusOr<Plan> MakePlan(const ConfigDocument& base, ConfigDocument declared,
                                const BusySlots& busy = {}) const;

 private:
  PlannerSettings settings_;
};

/// `base` with the state of one zone replaced. NotFound if the zone is not declared.
absl::StatusOr<ConfigDocument> WithZoneState(ConfigDocument base, const ZoneName& zone,
                                             ZoneState state);

/// `base` with the intent for one backend server replaced. NotFound if it is not declared.
absl::StatusOr<ConfigDocument> WithBackendIntent(ConfigDocument base, const BackendName& backend,
                                                 BackendIntent intent);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_PLANNER_H_
