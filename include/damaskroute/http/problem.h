#ifndef DAMASKROUTE_HTTP_PROBLEM_H_
#define DAMASKROUTE_HTTP_PROBLEM_H_

#include <chrono>
#include <string>
#include <string_view>

#include "damaskroute/core/verdict.h"
#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Error towards a caller, sent as a problem document (RFC 9457).
struct Problem {
  int status = 500;
  std::string type;    ///< Stable name of the kind of problem, for programs.
  std::string detail;  ///< What was wrong with this request, for people.
  Verdict verdict = Verdict::kNotRun;
  std::chrono::milliseconds retry_after{0};  ///< When to try again; 0 if that will not help.
  std::string request_id;                    ///< Empty if not known.
};

/// Renders the problem as `application/problem+json`.
HttpResponse MakeProblemResponse(const Problem& problem);

/// Text of the status code, for example `Not Found`.
std::string_view HttpReason(int status);

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_PROBLEM_H_
