#include "damaskroute/http/problem.h"

#include <doctest/doctest.h>

#include "damaskroute/intent/intent_replies.h"

namespace damaskroute {
namespace {

// Guards against changes of the wire format, which programs of callers and operators parse.
TEST_CASE("a problem document for a caller has the verdict and the request id") {
  HttpResponse response = MakeProblemResponse(404, "unknown_front", "no \"x\"");
  CHECK(response.status == 404);
  CHECK(response.content_type == "application/problem+json");
  CHECK(response.body ==
        R"({"type":"unknown_front","title":"Not Found","status":404,"detail":"no \"x\"",)"
        R"("verdict":"not_run"})"
        "\n");
  Problem problem{503, "peer_lost", "d", Verdict::kMayHaveRun, std::chrono::milliseconds(100),
                  "r1"};
  CHECK(MakeProblemResponse(problem).body ==
        R"({"type":"peer_lost","title":"Service Unavailable","status":503,"detail":"d",)"
        R"("verdict":"may_have_run","retry_after_ms":100,"request_id":"r1"})"
        "\n");
}

TEST_CASE("a problem document for an operator has the next step and no verdict") {
  HttpResponse response = ProblemReply(409, "stale_plan", "Another change came first", "", "Plan.");
  CHECK(response.status == 409);
  CHECK(response.content_type == "application/problem+json");
  CHECK(response.retry_after.count() == 0);
  CHECK(response.body ==
        R"({"type":"stale_plan","title":"Another change came first","status":409,"detail":"",)"
        R"("next_step":"Plan."})");
  CHECK(ProblemReply(401, "t", "T", "a \"b\" \n/\x01 \xc3\xa9", "").body ==
        "{\"type\":\"t\",\"title\":\"T\",\"status\":401,"
        "\"detail\":\"a \\\"b\\\" \\n/\\u0001 \xc3\xa9\",\"next_step\":\"\"}");
}

}  // namespace
}  // namespace damaskroute
