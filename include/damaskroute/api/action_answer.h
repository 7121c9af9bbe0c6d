#ifndef DAMASKROUTE_API_ACTION_ANSWER_H
#define DAMASKROUTE_API_ACTION_ANSWER_H

#include <string>

#include "damaskroute/actions/action_outcome.h"
#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Renders the outcome of an action as a response: 200 if the action ran, otherwise a problem
/// document with the verdict.
HttpResponse MakeActionAnswer(const ActionOutcome& outcome, const std::string& action_id);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_ACTION_ANSWER_H
