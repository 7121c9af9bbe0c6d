#ifndef DAMASKROUTE_INTENT_INTENT_REPLIES_H_
#define DAMASKROUTE_INTENT_INTENT_REPLIES_H_

#include <string>

#include "absl/status/status.h"
#include "damaskroute/config/config_document.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/intent/commit_outcome.h"
#include "damaskroute/intent/config_head.h"
#include "damaskroute/intent/plan_cache.h"

namespace damaskroute {

/// Problem document of the operators' interface. `type` is a short, stable name for programs,
/// `detail` describes the failure and `next_step` what the operator can do.
HttpResponse ProblemReply(int status, const std::string& type, const std::string& title,
                          const std::string& detail, const std::string& next_step);

/// Problem document for a request that failed with `status`.
HttpResponse StatusReply(const absl::Status& status);

/// Response to a confirmation: 200 if committed, otherwise 409, 503 or 504.
HttpResponse CommitReply(const CommitOutcome& outcome, const std::string& plan_id);

/// 200 for the confirmation of a plan without differences.
HttpResponse UnchangedReply(Revision revision, const std::string& plan_id);

/// 409 with the revisions committed after `base_revision`.
HttpResponse StalePlanReply(const ConfigHead& head, Revision base_revision);

/// 428 with the warnings of the plan.
HttpResponse OverrideReply(const CachedPlan& plan);

/// 404 for a plan that this node does not have.
HttpResponse UnknownPlanReply(const std::string& plan_id);

/// The revision history as JSON, newest first.
HttpResponse HistoryReply(const ConfigHead& head);

/// The configuration as JSON: `revision`, `change_id` and `declaration`.
HttpResponse ConfigReply(const ConfigDocument& document);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_INTENT_REPLIES_H_
