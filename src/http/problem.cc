#include "damaskroute/http/problem.h"

#include <boost/beast/http/status.hpp>
#include <string>
#include <utility>

#include "damaskroute/log/log_line.h"
#include "fmt/format.h"

namespace damaskroute {

std::string_view HttpReasonPhrase(int status) {
  auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

HttpResponse MakeProblemResponse(const Problem& problem) {
  HttpResponse response;
  response.status = problem.status;
  response.content_type = "application/problem+json";
  response.retry_after = problem.retry_after;
  std::string& body = response.body;
  body = R"({"type":)";
  AppendJsonString(body, problem.type);
  body += R"(,"title":)";
  AppendJsonString(body, problem.title.empty() ? HttpReasonPhrase(problem.status) : problem.title);
  body += fmt::format(R"(,"status":{},"detail":)", problem.status);
  AppendJsonString(body, problem.detail);
  if (problem.verdict) body += fmt::format(R"(,"verdict":"{}")", VerdictName(*problem.verdict));
  if (problem.retry_after.count() > 0) {
    body += fmt::format(R"(,"retry_after_ms":{})", problem.retry_after.count());
  }
  if (!problem.request_id.empty()) {
    body += R"(,"request_id":)";
    AppendJsonString(body, problem.request_id);
  }
  if (problem.next_step) {
    body += R"(,"next_step":)";
    AppendJsonString(body, *problem.next_step);
  }
  body += "}\n";
  return response;
}

HttpResponse MakeProblemResponse(int status, std::string type, std::string detail) {
  Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.detail = std::move(detail);
  return MakeProblemResponse(problem);
}

}  // namespace damaskroute
