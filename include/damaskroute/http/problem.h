#ifndef DAMASKROUTE_HTTP_PROBLEM_H_
#define DAMASKROUTE_HTTP_PROBLEM_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "damaskroute/core/verdict.h"
#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Error response to a caller or an operator, sent as a problem document (RFC 9457).
struct Problem {
  int status = 500;
  std::string type;    ///< Stable machine-readable name of the problem.
  std::string detail;  ///< Human-readable explanation for this request.
  std::optional<Verdict> verdict = Verdict::kNotRun;  ///< Absent in the operators' interface.
  std::chrono::milliseconds retry_after{0};  ///< When to retry; 0 if retrying does not help.
  std::string request_id;                    ///< Empty if unknown.
  std::string title;                         ///< Empty for the reason phrase of the status.
  std::optional<std::string> next_step;      ///< What an operator can do.
};

/// Renders the problem as `application/problem+json`.
HttpResponse MakeProblemResponse(const Problem& problem);

/// Renders a problem with the verdict `kNotRun`.
HttpResponse MakeProblemResponse(int status, std::string type, std::string detail);

/// Reason phrase of a status code, for example `Not Found`.
std::string_view HttpReasonPhrase(int status);

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_PROBLEM_H_
