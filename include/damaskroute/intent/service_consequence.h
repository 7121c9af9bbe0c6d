#ifndef DAMASKROUTE_INTENT_SERVICE_CONSEQUENCE_H_
#define DAMASKROUTE_INTENT_SERVICE_CONSEQUENCE_H_

#include <vector>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Available slots of a service in one zone, before and after a plan.
struct ZoneCapacity {
  ZoneName zone;
  int slots_before = 0;
  int slots_after = 0;

  friend bool operator==(const ZoneCapacity&, const ZoneCapacity&) = default;
};

/// Effect of a plan on one service.
struct ServiceConsequence {
  ServiceName service;
  int slots_before = 0;
  int slots_after = 0;
  int connections_to_open = 0;  ///< Configured connections to backend servers that start to serve.
  double busy_slots = 0;        ///< Average number of busy slots.
  bool busy_measured = false;   ///< False: assumed as a fraction of `slots_before`.
  std::vector<ZoneCapacity> zones;

  friend bool operator==(const ServiceConsequence&, const ServiceConsequence&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_SERVICE_CONSEQUENCE_H_
