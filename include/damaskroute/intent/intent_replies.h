#ifndef DAMASKROUTE_INTENT_INTENT_REPLIES_H_
#define DAMASKROUTE_INTENT_INTENT_REPLIES_H_

#include <string>

#include "absl/status/status.h"
#include "damaskroute/config/config_document.h"
#include "damaskroute/intent/commit_outcome.h"
#include "damaskroute/intent/config_head.h"
#include "damaskroute/intent/http_reply.h"
#include "damaskroute/intent/plan_cache.h"

namespace damaskroute {

/// Problem document for a request that failed with `status`.
HttpReply StatusReply(const absl::Status& status);

/// Answer to a confirmation: 200 if committed, 409, 503 or 504 otherwise.
HttpReply CommitReply(const CommitOutcome& outcome, const std::string& plan_id);

/// 200 for a confirmation that has nothing to change.
HttpReply UnchangedReply(Revision revision, const std::string& plan_id);

/// 409 that lists the revisions after `base_revision`.
HttpReply StalePlanReply(const ConfigHead& head, Revision base_revision);

/// 428 that repeats the warnings of the plan.
HttpReply OverrideReply(const CachedPlan& plan);

/// 404 for a plan that this node does not know.
HttpReply UnknownPlanReply(const std::string& plan_id);

/// The history as JSON, newest revision first.
HttpReply HistoryReply(const ConfigHead& head);

/// The configuration as JSON: `revision`, `change_id` and `declaration`.
HttpReply ConfigReply(const ConfigDocument& document);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_INTENT_REPLIES_H_
