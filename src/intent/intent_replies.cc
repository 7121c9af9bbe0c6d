#include "damaskroute/intent/intent_replies.h"

#include "damaskroute/config/config_json.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/core/json_writer.h"
#include "damaskroute/http/problem.h"
#include "fmt/chrono.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace damaskroute {
namespace {

// Maximum number of revisions in a problem document; more would hide the next step on a terminal.
constexpr std::size_t kMaxListedRevisions = 10;

HttpResponse RevisionReply(Revision revision, const std::string& plan_id, bool committed) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("revision");
  writer.Uint64(revision);
  WriteText(writer, "change_id", plan_id);
  writer.Key("committed");
  writer.Bool(committed);
  writer.EndObject();
  return {200, "application/json", buffer.GetString()};
}

std::string FormatTime(std::chrono::system_clock::time_point time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     std::chrono::time_point_cast<std::chrono::seconds>(time));
}

}  // namespace

HttpResponse ProblemReply(int status, const std::string& type, const std::string& title,
                          const std::string& detail, const std::string& next_step) {
  Problem problem;
  problem.status = status;
  problem.type = type;
  problem.title = title;
  problem.detail = detail;
  problem.verdict.reset();
  problem.next_step = next_step;
  HttpResponse response = MakeProblemResponse(problem);
  response.body.pop_back();  // Bodies of this interface do not end with a line break.
  return response;
}

HttpResponse StatusReply(const absl::Status& status) {
  std::string detail = ErrorText(status);
  if (absl::IsInvalidArgument(status)) {
    return ProblemReply(400, "invalid_request", "The request is not valid", detail,
                        "Correct the request as described in the detail and send it again.");
  }
  if (absl::IsNotFound(status)) {
    return ProblemReply(404, "not_found", "The request refers to an unknown name", detail,
                        "Look up the name with GET /v1/config.");
  }
  if (absl::IsUnavailable(status) || absl::IsUnknown(status) || absl::IsDeadlineExceeded(status)) {
    return ProblemReply(503, "store_unavailable", "The store does not answer", detail,
                        "Nothing has changed and queries are still served. Send it again later.");
  }
  return ProblemReply(500, "internal", "The request failed", detail,
                      "Look at the node's log and try another node.");
}

HttpResponse CommitReply(const CommitOutcome& outcome, const std::string& plan_id) {
  switch (outcome.result) {
    case CommitResult::kCommitted:
      return RevisionReply(outcome.revision, plan_id, true);
    case CommitResult::kConflict:
      return ProblemReply(409, "stale_plan", "Another change came first", outcome.detail,
                          "Make a new plan and compare it.");
    case CommitResult::kUnavailable:
      return ProblemReply(503, "store_unavailable", "The store does not answer", outcome.detail,
                          "Nothing has changed. Confirm the same plan again later.");
    case CommitResult::kUnknown:
      break;
  }
  return ProblemReply(504, "outcome_unknown", "The change may have taken effect", outcome.detail,
                      "Confirm the same plan again: it takes effect at most once.");
}

HttpResponse UnchangedReply(Revision revision, const std::string& plan_id) {
  return RevisionReply(revision, plan_id, false);
}

HttpResponse StalePlanReply(const ConfigHead& head, Revision base_revision) {
  std::string detail = fmt::format("the plan was made for revision {}, revision {} is in force",
                                   base_revision, head.revision());
  std::size_t listed = 0;
  for (const HeadEntry& entry : head.entries) {
    if (entry.revision <= base_revision) continue;
    if (++listed > kMaxListedRevisions) {
      detail += "; and more";
      break;
    }
    detail += fmt::format("; revision {}: {}", entry.revision, entry.summary);
  }
  return ProblemReply(409, "stale_plan", "Another change came first", detail,
                      "Nothing has changed. Make a new plan and compare it.");
}

HttpResponse OverrideReply(const CachedPlan& plan) {
  return ProblemReply(428, "override_required", "The plan needs an explicit override",
                      fmt::format("{}", fmt::join(plan.warnings, "; ")),
                      "Nothing has changed. Confirm with override if this is intended.");
}

HttpResponse UnknownPlanReply(const std::string& plan_id) {
  return ProblemReply(404, "unknown_plan", "This node does not have the plan",
                      fmt::format("plan {} was made by another node or dropped", plan_id),
                      "Send the plan request with the confirmation, or make the plan again.");
}

HttpResponse HistoryReply(const ConfigHead& head) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("revisions");
  writer.StartArray();
  for (auto entry = head.entries.rbegin(); entry != head.entries.rend(); ++entry) {
    writer.StartObject();
    writer.Key("revision");
    writer.Uint64(entry->revision);
    WriteText(writer, "committed_at", FormatTime(entry->committed_at));
    WriteText(writer, "change_id", entry->change_id);
    WriteText(writer, "summary", entry->summary);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {200, "application/json", buffer.GetString()};
}

HttpResponse ConfigReply(const ConfigDocument& document) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  std::string declaration = ConfigJson(document);
  writer.StartObject();
  writer.Key("revision");
  writer.Uint64(document.revision);
  WriteText(writer, "change_id", document.change_id);
  writer.Key("declaration");
  writer.RawValue(declaration.data(), declaration.size(), rapidjson::kObjectType);
  writer.EndObject();
  return {200, "application/json", buffer.GetString()};
}

}  // namespace damaskroute
