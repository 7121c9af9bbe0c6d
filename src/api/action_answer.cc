#include "damaskroute/api/action_answer.h"

#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kRetryAfterRefusal{200};

HttpResponse MakeFailure(Verdict verdict, const std::string& action_id) {
  Problem problem;
  problem.verdict = verdict;
  problem.request_id = action_id;
  if (verdict == Verdict::kNotRun) {
    problem.status = 503;
    problem.type = "action_refused";
    problem.detail = "the action did not run; this id is used up, try again with a new one";
    problem.retry_after = kRetryAfterRefusal;
  } else {
    problem.status = 504;
    problem.type = "outcome_unknown";
    problem.detail =
        "the action may have run; repeat it with the same id to learn more, or check its effect";
  }
  return MakeProblemResponse(problem);
}

}  // namespace

HttpResponse MakeActionAnswer(const ActionOutcome& outcome, const std::string& action_id) {
  if (outcome.verdict != Verdict::kRan) return MakeFailure(outcome.verdict, action_id);
  HttpResponse response;
  response.body = R"({"action_id":)";
  AppendJsonString(response.body, action_id);
  response.body += R"(,"verdict":"ran","answer":)";
  response.body += outcome.answer && !outcome.answer->empty() ? *outcome.answer : "null";
  response.body += "}\n";
  return response;
}

}  // namespace damaskroute
