#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "benchmark/model/experiment.h"
#include "benchmark/model/named_days.h"
#include "benchmark/model/parse_policy.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/core/json_writer.h"
#include "damaskroute/settings/program.h"
#include "fmt/format.h"

ABSL_FLAG(std::string, day, "quiet", "Day to simulate.");
ABSL_FLAG(std::string, a, "", "First policy.");
ABSL_FLAG(std::string, b, "", "Second policy.");
ABSL_FLAG(std::uint64_t, seeds, 20, "Days simulated with each policy.");
ABSL_FLAG(std::string, format, "text", "text or json.");

namespace damaskroute::model {
namespace {

constexpr char kUsage[] = R"(damaskmodel - compares two policies on modelled days in simulated time

usage: damaskmodel [--day=NAME] [--a=POLICY] [--b=POLICY] [OPTIONS]

  --day=NAME       quiet, slow, dark, cut, crowd, limited or lonely_cut; default quiet
  --a=POLICY       KEY=VALUE,... with the keys copy_after (fraction of the objective),
  --b=POLICY       extra_ratio, zone_cost_us, limit (on or off); default: as in the product
  --seeds=N        days simulated with each policy, 1 to 1000, default 20
  --format=text|json
  --help, --version

Both policies run with the same seeds. The difference of the credit is printed with its 95%
confidence interval.
)";

constexpr std::uint64_t kMaxSeeds = 1000;

absl::StatusOr<Comparison> RunComparison() {
  auto day = NamedDay(absl::GetFlag(FLAGS_day));
  if (!day.ok()) return day.status();
  auto a = ParsePolicy(absl::GetFlag(FLAGS_a));
  if (!a.ok()) return a.status();
  auto b = ParsePolicy(absl::GetFlag(FLAGS_b));
  if (!b.ok()) return b.status();
  std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
  if (seeds < 1 || seeds > kMaxSeeds) {
    return absl::InvalidArgumentError(fmt::format("seeds: expected 1 to {}", kMaxSeeds));
  }
  return Compare(*day, *a, *b, seeds);
}

void PrintText(const char* name, const ModelResult& result, const Estimate& credit) {
  fmt::print(
      "{}  credit {:.4f} +-{:.4f}  asked {}  in time {}  in time again {}  late {}  refused {}  "
      "failed {}  "
      "partial {}  calls {}  copies {}  over limit {}\n",
      name, credit.mean, credit.margin, result.queries, result.in_time, result.in_time_on_retry,
      result.late, result.refused, result.failed, result.partial, result.calls, result.hedges,
      result.over_rate_limit);
}

void WriteEstimate(JsonWriter& writer, const char* key, const Estimate& estimate) {
  writer.Key(key);
  writer.StartObject();
  writer.Key("mean");
  writer.Double(estimate.mean);
  writer.Key("margin");
  writer.Double(estimate.margin);
  writer.EndObject();
}

void WriteResult(JsonWriter& writer, const char* key, const ModelResult& result,
                 const Estimate& credit) {
  writer.Key(key);
  writer.StartObject();
  WriteEstimate(writer, "credit", credit);
  WriteInteger(writer, "asked", static_cast<std::int64_t>(result.queries));
  WriteInteger(writer, "in_time", static_cast<std::int64_t>(result.in_time));
  WriteInteger(writer, "in_time_again", static_cast<std::int64_t>(result.in_time_on_retry));
  WriteInteger(writer, "late", static_cast<std::int64_t>(result.late));
  WriteInteger(writer, "refused", static_cast<std::int64_t>(result.refused));
  WriteInteger(writer, "failed", static_cast<std::int64_t>(result.failed));
  WriteInteger(writer, "partial", static_cast<std::int64_t>(result.partial));
  WriteInteger(writer, "calls", static_cast<std::int64_t>(result.calls));
  WriteInteger(writer, "copies", static_cast<std::int64_t>(result.hedges));
  WriteInteger(writer, "over_rate_limit", static_cast<std::int64_t>(result.over_rate_limit));
  writer.Key("credit_by_second");
  writer.StartArray();
  for (std::size_t i = 0; i < result.total_value_by_second.size(); ++i) {
    double total_value = result.total_value_by_second[i];
    writer.Double(total_value > 0 ? result.earned_value_by_second[i] / total_value : 0);
  }
  writer.EndArray();
  writer.EndObject();
}

void PrintJson(const Comparison& comparison) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "day", absl::GetFlag(FLAGS_day));
  WriteText(writer, "policy_a", absl::GetFlag(FLAGS_a));
  WriteText(writer, "policy_b", absl::GetFlag(FLAGS_b));
  WriteInteger(writer, "seeds", static_cast<std::int64_t>(absl::GetFlag(FLAGS_seeds)));
  WriteResult(writer, "a", comparison.a, comparison.credit_a);
  WriteResult(writer, "b", comparison.b, comparison.credit_b);
  WriteEstimate(writer, "difference", comparison.difference);
  writer.EndObject();
  fmt::print("{}\n", buffer.GetString());
}

int Run() {
  std::string format = absl::GetFlag(FLAGS_format);
  auto comparison = RunComparison();
  if (!comparison.ok() || (format != "text" && format != "json")) {
    fmt::print(stderr, "damaskmodel: {}\n",
               comparison.ok() ? "format: expected text or json" : ErrorText(comparison.status()));
    return 2;
  }
  if (format == "json") {
    PrintJson(*comparison);
    return 0;
  }
  PrintText("a", comparison->a, comparison->credit_a);
  PrintText("b", comparison->b, comparison->credit_b);
  fmt::print("b less a  {:+.4f} +-{:.4f}\n", comparison->difference.mean,
             comparison->difference.margin);
  return 0;
}

}  // namespace
}  // namespace damaskroute::model

int main(int argc, char** argv) {
  const damaskroute::Program program{"damaskmodel", DAMASKROUTE_VERSION,
                                     damaskroute::model::kUsage};
  if (auto ended = program.HandleInfoFlags({argv + 1, argv + argc})) return Print(*ended);
  absl::ParseCommandLine(argc, argv);
  return damaskroute::model::Run();
}
