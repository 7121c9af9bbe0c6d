#include "damaskroute/ctl/ctl.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include "damaskroute/config/declaration.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/ctl/json_table.h"
#include "fmt/format.h"
#include "rapidjson/document.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {
namespace {

constexpr char kUsage[] = R"(damaskctl - changes and observes damaskroute

usage: damaskctl [OPTIONS] COMMAND

commands
  plan -f PATH               show what a declaration (file or directory) would change
  confirm PLAN_ID            put a plan into force; with -f PATH any node can do it
  apply -f PATH              plan, show, ask, confirm
  zone out|back NAME         take an availability zone out of service or back (asks)
  backend join|leave NAME    let a backend server serve or leave (asks)
  rollback REVISION          restore an earlier revision as a new one (asks)
  status                     state of the node; --wait=REVISION waits until it is in force
  history                    latest revisions
  config                     configuration in force on the node
  query FRONT JSON           send a query through the callers' interface
  burn                       error budgets and burn rates
  beliefs                    state that a node on the users' platform acts on: routes, backend
                             servers and why each is used or not; --endpoint is its metrics
                             address
  check -f PATH              check a declaration without contacting a node

options
  --endpoint=ADDRESS:PORT          operators' address of a node
  --callers-endpoint=ADDRESS:PORT  callers' address of a node, for query
  --token-file=PATH                file that holds the operators' token
  -f=PATH                          declaration
  --yes                            do not ask
  --override                       confirm despite severe warnings
  --wait=REVISION                  see status
  --timeout=SPAN                   longest time of a call or wait, default 30s
  --format=table|json              default: table on a terminal, json elsewhere
  --help, --version

exit codes
  0 done                            6 the change may have taken effect: confirm again
  1 other failure, unknown option   7 the name, plan or revision is not known
  2 wrong arguments or declaration  8 the token is missing or wrong
  3 another change came first       9 not agreed
  4 override required              10 --wait ended before the revision was in force
  5 node or store does not answer; nothing has changed
)";

constexpr std::chrono::milliseconds kPollInterval{200};

// Returns a member of a JSON object as text; empty if there is none.
std::string Member(const std::string& json, const char* key) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) return "";
  const rapidjson::Value& object = document;
  auto member = object.FindMember(key);
  if (member == object.MemberEnd()) return "";
  const rapidjson::Value& value = member->value;
  if (value.IsString()) return {value.GetString(), value.GetStringLength()};
  if (value.IsBool()) return value.GetBool() ? "true" : "false";
  return value.IsUint64() ? std::to_string(value.GetUint64()) : "";
}

std::optional<Revision> ParseRevision(const std::string& text) {
  Revision revision = 0;
  auto result = std::from_chars(text.data(), text.data() + text.size(), revision);
  bool valid = result.ec == std::errc() && result.ptr == text.data() + text.size();
  return valid && revision > 0 ? std::optional(revision) : std::nullopt;
}

// Whether a plan id or front name can be inserted into a URL path.
bool IsPathSegment(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  });
}

// Whether `revision` is in force according to a status document: on the node itself and, if the
// document has `lowest_revision`, on all nodes that it knows.
bool IsInForce(const std::string& status, Revision revision) {
  std::optional<Revision> local = ParseRevision(Member(status, "revision"));
  std::optional<Revision> lowest = ParseRevision(Member(status, "lowest_revision"));
  if (!local.has_value() || *local < revision) return false;
  return Member(status, "lowest_revision").empty() || (lowest.has_value() && *lowest >= revision);
}

}  // namespace

std::string CtlUsage() { return kUsage; }

Ctl::Ctl(CtlOptions options, CtlIo io) : options_(std::move(options)), io_(std::move(io)) {}

ExitCode Ctl::Run(const std::vector<std::string>& arguments) {
  auto is = [&](std::size_t count, const char* command) {
    return arguments.size() == count && arguments[0] == command;
  };
  if (is(1, "check")) return Check();
  if (is(1, "plan")) return Plan();
  if (is(2, "confirm")) return Confirm(arguments[1]);
  if (is(1, "apply")) return ApplyFile();
  if (is(1, "status")) return Status();
  if (is(1, "history")) return Show("/v1/history");
  if (is(1, "config")) return Show("/v1/config");
  if (is(1, "burn")) return Show("/v1/burn");
  if (is(1, "beliefs")) return Show("/v1/beliefs");
  if (is(2, "rollback")) return Rollback(arguments[1]);
  if (is(3, "query")) return Query(arguments[1], arguments[2]);
  if (is(3, "zone") && arguments[1] == "out") {
    return Apply(ZoneRequest{arguments[2], ZoneState::kOut});
  }
  if (is(3, "zone") && arguments[1] == "back") {
    return Apply(ZoneRequest{arguments[2], ZoneState::kServing});
  }
  if (is(3, "backend") && arguments[1] == "join") {
    return Apply(BackendRequest{arguments[2], BackendIntent::kServing});
  }
  if (is(3, "backend") && arguments[1] == "leave") {
    return Apply(BackendRequest{arguments[2], BackendIntent::kLeaving});
  }
  return Usage(arguments.empty() ? "expected a command"
                                 : "expected a known command and its "
                                   "arguments, found " +
                                       arguments[0]);
}

ExitCode Ctl::Usage(const std::string& problem) {
  io_.err(fmt::format("damaskctl: {}\nnext: damaskctl --help\n", problem));
  return ExitCode::kInvalid;
}

ExitCode Ctl::Invalid(const absl::Status& status) {
  io_.err(
      fmt::format("damaskctl: {}\nnext: correct the declaration; damaskctl check -f PATH "
                  "checks it without a node\n",
                  ErrorText(status)));
  return ExitCode::kInvalid;
}

// Parses the declaration locally, so that errors are reported without contacting a node.
absl::StatusOr<PlanRequest> Ctl::ReadFile() {
  if (options_.file.empty()) return absl::InvalidArgumentError("expected a declaration: -f PATH");
  absl::StatusOr<std::vector<DeclarationFile>> files = ReadDeclarationFiles(options_.file);
  if (!files.ok()) return files.status();
  absl::StatusOr<ConfigDocument> document = ParseDeclaration(*files);
  if (!document.ok()) return document.status();
  return PlanRequest(*std::move(files));
}

absl::StatusOr<HttpAnswer> Ctl::CallNode(const std::string& method, const std::string& path,
                                         const std::string& body) {
  return io_.call({options_.endpoint, method, path, options_.token, body, options_.timeout});
}

// Prints a successful response to the output, and a problem with its next step to the error output.
ExitCode Ctl::Report(const absl::StatusOr<HttpAnswer>& answer) {
  if (!answer.ok()) {
    io_.err(fmt::format("damaskctl: {}\nnext: try another node with --endpoint\n",
                        ErrorText(answer.status())));
    return ExitCode::kUnavailable;
  }
  ExitCode code = ExitCodeOf(answer->status);
  if (code == ExitCode::kOk) {
    io_.out(options_.json ? answer->body + "\n" : JsonTable(answer->body));
    return code;
  }
  if (options_.json) io_.out(answer->body + "\n");
  std::string next = Member(answer->body, "next_step");
  if (code == ExitCode::kOverrideRequired) next += " The option is --override.";
  io_.err(JsonTable(fmt::format("damaskctl: {}: {}\nnext: {}", Member(answer->body, "title"),
                                Member(answer->body, "detail"),
                                next.empty() ? "look at damaskctl status" : next)));
  return code;
}

ExitCode Ctl::Check() {
  absl::StatusOr<PlanRequest> request = ReadFile();
  if (!request.ok()) return Invalid(request.status());
  io_.out("the declaration is valid\n");
  return ExitCode::kOk;
}

ExitCode Ctl::Plan() {
  absl::StatusOr<PlanRequest> request = ReadFile();
  if (!request.ok()) return Invalid(request.status());
  absl::StatusOr<HttpAnswer> answer = CallNode("POST", "/v1/plans", PlanRequestJson(*request));
  ExitCode code = Report(answer);
  if (code == ExitCode::kOk && !options_.json) {
    io_.out(fmt::format("next: damaskctl confirm {} -f {}\n", Member(answer->body, "id"),
                        options_.file));
  }
  return code;
}

ExitCode Ctl::Confirm(const std::string& plan_id) {
  if (!IsPathSegment(plan_id)) return Usage("expected a plan id");
  ConfirmRequest confirm{options_.override_warnings, false, {}};
  if (!options_.file.empty()) {
    absl::StatusOr<PlanRequest> request = ReadFile();
    if (!request.ok()) return Invalid(request.status());
    confirm.has_request = true;
    confirm.request = *std::move(request);
  }
  return ConfirmPlan(plan_id, confirm);
}

ExitCode Ctl::ConfirmPlan(const std::string& plan_id, const ConfirmRequest& request) {
  absl::StatusOr<HttpAnswer> answer =
      CallNode("POST", fmt::format("/v1/plans/{}/confirm", plan_id), ConfirmRequestJson(request));
  if (!answer.ok()) {
    // The connection may have broken after the node had sent the change to the store.
    io_.err(
        fmt::format("damaskctl: {}; the change may have taken effect\nnext: damaskctl confirm "
                    "{}, on any node with the same -f: it takes effect at most once\n",
                    ErrorText(answer.status()), plan_id));
    return ExitCode::kUnknown;
  }
  ExitCode code = Report(answer);
  if (code == ExitCode::kOk && !options_.json) {
    io_.out(fmt::format("next: damaskctl status --wait={}\n", Member(answer->body, "revision")));
  }
  return code;
}

ExitCode Ctl::ApplyFile() {
  absl::StatusOr<PlanRequest> request = ReadFile();
  return request.ok() ? Apply(*request) : Invalid(request.status());
}

ExitCode Ctl::Apply(const PlanRequest& request) {
  absl::StatusOr<HttpAnswer> answer = CallNode("POST", "/v1/plans", PlanRequestJson(request));
  ExitCode code = Report(answer);
  if (code != ExitCode::kOk) return code;
  if (Member(answer->body, "needs_override") == "true" && !options_.override_warnings) {
    io_.err(
        "damaskctl: the plan has severe warnings; nothing has changed\nnext: repeat with "
        "--override if this is intended\n");
    return ExitCode::kOverrideRequired;
  }
  if (!options_.yes) {
    std::optional<bool> agreed = io_.prompt("Put this plan into force? [y/N] ");
    if (agreed != true) {
      io_.err(
          fmt::format("damaskctl: {}; nothing has changed\nnext: repeat with --yes to confirm "
                      "without a question\n",
                      agreed.has_value() ? "not agreed" : "there is no terminal to ask"));
      return ExitCode::kDeclined;
    }
  }
  return ConfirmPlan(Member(answer->body, "id"), {options_.override_warnings, true, request});
}

ExitCode Ctl::Rollback(const std::string& revision) {
  std::optional<Revision> parsed = ParseRevision(revision);
  if (!parsed.has_value()) return Usage("expected a revision above 0, found " + revision);
  return Apply(RollbackRequest{*parsed});
}

ExitCode Ctl::Show(const std::string& path) { return Report(CallNode("GET", path, "")); }

ExitCode Ctl::Status() {
  absl::StatusOr<HttpAnswer> answer = CallNode("GET", "/v1/status", "");
  // Counts poll intervals instead of reading a clock; slow responses prolong the wait.
  for (auto waited = std::chrono::milliseconds(0);
       options_.wait > 0 && answer.ok() && answer->status == 200 &&
       !IsInForce(answer->body, options_.wait);
       waited += kPollInterval) {
    if (waited >= options_.timeout) {
      Report(answer);
      io_.err(
          fmt::format("damaskctl: revision {} is not in force everywhere\nnext: damaskctl "
                      "history shows whether it exists; wait longer with --timeout\n",
                      options_.wait));
      return ExitCode::kTimeout;
    }
    io_.sleep(kPollInterval);
    answer = CallNode("GET", "/v1/status", "");
  }
  return Report(answer);
}

ExitCode Ctl::Query(const std::string& front, const std::string& query) {
  if (!IsPathSegment(front)) return Usage("expected the name of a front");
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(query.data(), query.size());
  if (document.HasParseError() || !document.IsObject()) {
    return Usage("expected the query as a JSON object");
  }
  // Serializes the parsed query, so that unbalanced braces cannot break out of the `query` member.
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("query");
  document.Accept(writer);
  writer.EndObject();
  std::string path = fmt::format("/v1/fronts/{}/query", front);
  return Report(io_.call(
      {options_.callers_endpoint, "POST", path, "", buffer.GetString(), options_.timeout}));
}

}  // namespace damaskroute
