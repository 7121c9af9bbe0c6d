#include "damaskroute/ctl/ctl.h"

#include <doctest/doctest.h>

#include <deque>

#include "damaskroute/ctl/json_table.h"

namespace damaskroute {
namespace {

// Runs commands against prepared responses and records the calls and the output.
struct Session {
  ExitCode Run(const std::vector<std::string>& arguments) {
    CtlIo io;
    io.out = [this](const std::string& text) { out += text; };
    io.err = [this](const std::string& text) { err += text; };
    io.prompt = [this](const std::string&) { return agreed; };
    io.call = [this](const HttpCall& call) -> absl::StatusOr<HttpAnswer> {
      calls.push_back(call);
      if (answers.empty()) return absl::UnavailableError("127.0.0.1:1 does not answer");
      HttpAnswer answer = answers.front();
      answers.pop_front();
      return answer;
    };
    io.sleep = [this](std::chrono::milliseconds span) { slept += span; };
    return Ctl(options, io).Run(arguments);
  }

  CtlOptions options{"127.0.0.1:1",
                     "127.0.0.1:2",
                     "token",
                     "",
                     false,
                     false,
                     false,
                     0,
                     std::chrono::milliseconds(1000)};
  std::optional<bool> agreed;
  std::deque<HttpAnswer> answers;
  std::vector<HttpCall> calls;
  std::string out;
  std::string err;
  std::chrono::milliseconds slept{0};
};

constexpr char kPlan[] =
    "{\"id\":\"abc\",\"base_revision\":1,\"needs_override\":false,\"differences\":[{\"kind\":"
    "\"zone_out\",\"text\":\"zone a goes out\"}],\"warnings\":[]}";
constexpr char kCommitted[] = "{\"revision\":2,\"change_id\":\"abc\",\"committed\":true}";

TEST_CASE("plans a zone change, shows it, asks the operator and confirms it with its request") {
  Session session;
  session.agreed = true;
  session.answers = {{200, kPlan}, {200, kCommitted}};
  CHECK(session.Run({"zone", "out", "a"}) == ExitCode::kOk);
  REQUIRE(session.calls.size() == 2);
  CHECK(session.calls[0].path == "/v1/plans");
  CHECK(session.calls[0].token == "token");
  CHECK(session.calls[0].body == "{\"zone\":\"a\",\"state\":\"out\"}");
  CHECK(session.calls[1].path == "/v1/plans/abc/confirm");
  CHECK(session.calls[1].body ==
        "{\"override\":false,\"request\":{\"zone\":\"a\",\"state\":\"out\"}}");
  CHECK(session.out ==
        "id: abc\nbase_revision: 1\nneeds_override: false\ndifferences:\n  kind     text\n"
        "  zone_out zone a goes out\nrevision: 2\nchange_id: abc\ncommitted: true\n"
        "next: damaskctl status --wait=2\n");
}

TEST_CASE("confirms nothing if declined, without a terminal or with severe warnings") {
  for (std::optional<bool> agreed : {std::optional<bool>(false), std::optional<bool>()}) {
    Session session;
    session.agreed = agreed;
    session.answers = {{200, kPlan}};
    CHECK(session.Run({"backend", "leave", "desk-1"}) == ExitCode::kDeclined);
    CHECK(session.calls.size() == 1);
  }
  Session session;
  session.options.yes = true;
  session.answers = {{200, "{\"id\":\"abc\",\"needs_override\":true}"}};
  CHECK(session.Run({"rollback", "3"}) == ExitCode::kOverrideRequired);
  CHECK(session.calls.size() == 1);
  CHECK(session.calls[0].body == "{\"rollback_to\":3}");
  session.options.override_warnings = true;
  session.answers = {{200, "{\"id\":\"abc\",\"needs_override\":true}"}, {200, kCommitted}};
  CHECK(session.Run({"rollback", "3"}) == ExitCode::kOk);
}

TEST_CASE("maps each problem to an exit code and prints the next step") {
  const std::pair<int, ExitCode> expected[] = {
      {400, ExitCode::kInvalid},          {401, ExitCode::kUnauthorized},
      {404, ExitCode::kNotFound},         {409, ExitCode::kConflict},
      {428, ExitCode::kOverrideRequired}, {503, ExitCode::kUnavailable},
      {504, ExitCode::kUnknown},          {500, ExitCode::kFailed}};
  for (const auto& [status, code] : expected) {
    Session session;
    session.answers = {
        {status, "{\"title\":\"Title\",\"detail\":\"detail\",\"next_step\":\"Do it.\"}"}};
    CHECK(session.Run({"confirm", "abc"}) == code);
    CHECK(session.err.find("damaskctl: Title: detail\nnext: Do it.") == 0);
  }
  Session session;
  CHECK(session.Run({"history"}) == ExitCode::kUnavailable);
  // If the connection breaks during a confirmation, the change may have taken effect.
  CHECK(session.Run({"confirm", "abc"}) == ExitCode::kUnknown);
  CHECK(session.Run({"zone", "away", "a"}) == ExitCode::kInvalid);
  CHECK(session.Run({}) == ExitCode::kInvalid);
  CHECK(session.Run({"rollback", "-1"}) == ExitCode::kInvalid);
  CHECK(session.Run({"plan"}) == ExitCode::kInvalid);
  CHECK(session.Run({"query", "desk", "{} {}"}) == ExitCode::kInvalid);
}

TEST_CASE("status waits for all nodes and ends after the timeout") {
  Session session;
  session.options.wait = 2;
  session.answers = {{200, "{\"revision\":1}"},
                     {200, "{\"revision\":2,\"lowest_revision\":1}"},
                     {200, "{\"revision\":3,\"lowest_revision\":2}"}};
  CHECK(session.Run({"status"}) == ExitCode::kOk);
  CHECK(session.slept == std::chrono::milliseconds(400));
  session.answers.assign(20, {200, "{\"revision\":1}"});
  CHECK(session.Run({"status"}) == ExitCode::kTimeout);
}

TEST_CASE("checks and sends declaration files, and sends queries to the callers' endpoint") {
  Session session;
  session.options.file = DAMASKROUTE_SOURCE_DIR "/examples/brekke";
  CHECK(session.Run({"check"}) == ExitCode::kOk);
  CHECK(session.calls.empty());
  session.answers = {{200, kPlan}, {200, "{\"rows\":[1,2]}"}};
  CHECK(session.Run({"plan"}) == ExitCode::kOk);
  absl::StatusOr<PlanRequest> sent = ParsePlanRequest(session.calls.at(0).body);
  REQUIRE(sent.ok());
  CHECK(std::get<std::vector<DeclarationFile>>(*sent).size() == 5);
  CHECK(session.Run({"query", "desk", "{\"text\": \"a\"}"}) == ExitCode::kOk);
  CHECK(session.calls.at(1).endpoint == "127.0.0.1:2");
  CHECK(session.calls.at(1).token.empty());
  CHECK(session.calls.at(1).body == "{\"query\":{\"text\":\"a\"}}");
}

TEST_CASE("replaces terminal control sequences in text from other sources") {
  CHECK(JsonTable("{\"a\":\"x\\u001b[2Jy\"}") == "a: x?[2Jy\n");
  CHECK(JsonTable("\x1b[2J") == "?[2J\n");
}

}  // namespace
}  // namespace damaskroute
