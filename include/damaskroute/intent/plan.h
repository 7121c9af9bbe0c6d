#ifndef DAMASKROUTE_INTENT_PLAN_H_
#define DAMASKROUTE_INTENT_PLAN_H_

#include <string>
#include <vector>

#include "damaskroute/config/config_change.h"
#include "damaskroute/config/config_document.h"
#include "damaskroute/intent/service_consequence.h"

namespace damaskroute {

/// Effects of a requested change. Nothing changes until the plan is confirmed.
struct Plan {
  std::string id;  ///< Hash of base revision and content; also the change id of the commit.
  Revision base_revision = 0;
  std::vector<ConfigChange> differences;
  std::vector<ServiceConsequence> consequences;  ///< Services whose capacity changes.
  std::vector<std::string> warnings;
  bool needs_override = false;  ///< A warning is severe: the confirmation must set `override`.
  ConfigDocument document;      ///< Declared content, without revision and change id.
};

/// One line for the history, at most 200 bytes: the first differences and the number of the rest.
std::string PlanSummary(const Plan& plan);

/// The plan as a JSON object, without the document.
std::string PlanJson(const Plan& plan);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_PLAN_H_
