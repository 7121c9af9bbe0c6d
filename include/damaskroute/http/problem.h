#ifndef DAMASKROUTE_HTTP_PROBLEM_H_
#define DAMASKROUTE_HTTP_PROBLEM_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "damaskroute/core/verdict.h"
#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Error towards a caller or an operator, sent as a problem document (RFC 9457).
struct Problem {
  int status = 500;
  std::string type;    ///< Stable name of the kind of problem, for programs.
  std::string detail;  ///< What was wrong with this request, for people.
  std::optional<Verdict> verdict = Verdict::kNotRun;  ///< None in the operators' interface.
  std::chrono::milliseconds retry_after{0};  ///< When to try again; 0 if that will not help.
  std::string request_id;                    ///< Empty if not known.
  std::string title;                         ///< Empty for the text of the status code.
  std::optional<std::string> next_step;      ///< What an operator can do.
};

/// Renders the problem as `application/problem+json`.
HttpResponse MakeProblemResponse(const Problem& problem);

/// Renders a problem of a request that did not run.
HttpResponse MakeProblemResponse(int status, std::string type, std::string detail);

/// Text of the status code, for example `Not Found`.
std::string_view HttpReason(int status);

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_PROBLEM_H_
