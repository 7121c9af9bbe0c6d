#include "damaskroute/api/query_answer.h"

#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kRetryAfterNoAnswer{200};

HttpResponse MakeFailure(const QueryResult& result, const std::string& request_id) {
  Problem problem;
  problem.verdict = result.verdict;
  problem.request_id = request_id;
  if (result.blocked) {
    problem.status = 422;
    problem.type = "blocked_request";
    problem.detail = "backend servers lost their connections while they ran this request";
  } else if (result.version == 0) {
    problem.status = 503;
    problem.type = "no_shard_available";
    problem.detail = "no backend server of the service can be reached now";
    problem.retry_after = kRetryAfterNoAnswer;
  } else {
    problem.status = 504;
    problem.type = "no_answer";
    problem.detail = "no shard answered before the deadline";
    problem.retry_after = kRetryAfterNoAnswer;
  }
  return MakeProblemResponse(problem);
}

void AppendMissing(std::string& body, const KeyRangeSet& covered) {
  const char* separator = "";
  for (const KeyRange& range : covered.MissingFrom(kWholeKeySpace)) {
    body += fmt::format("{}[{},{}]", separator, range.low, range.high);
    separator = ",";
  }
}

void AppendRows(std::string& body, const std::vector<std::string>& rows) {
  bool first = true;
  for (const std::string& fragment : rows) {
    if (fragment.empty()) continue;
    if (!first) body += ',';
    body += fragment;
    first = false;
  }
}

}  // namespace

HttpResponse MakeQueryAnswer(const QueryResult& result, const std::string& request_id) {
  if (result.verdict != Verdict::kRan) return MakeFailure(result, request_id);
  HttpResponse response;
  std::string& body = response.body;
  body = R"({"request_id":)";
  AppendJsonString(body, request_id);
  body += fmt::format(R"(,"verdict":"ran","index_version":{},"partial":{},"coverage":{{)",
                      result.version, !result.covered.Covers(kWholeKeySpace));
  body += fmt::format(R"("fraction":{},"missing":[)", result.covered.Coverage());
  AppendMissing(body, result.covered);
  body += R"(]},"rows":[)";
  AppendRows(body, result.rows);
  body += "]}\n";
  return response;
}

}  // namespace damaskroute
