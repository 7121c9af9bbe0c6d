#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_split.h"
#include "benchmark/support/baseline_target.h"
#include "benchmark/support/entry_target.h"
#include "benchmark/support/load_generator.h"
#include "damaskroute/config/declaration.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/settings/program.h"
#include "fmt/format.h"

ABSL_FLAG(std::vector<std::string>, targets, {}, "Callers' ports of entry nodes, IP:PORT,...");
ABSL_FLAG(std::string, front, "", "Search front, or service for the baseline.");
ABSL_FLAG(std::string, query, "{}", "Query object as JSON.");
ABSL_FLAG(double, rate, 100, "Queries per second.");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(5), "Time over which queries arrive.");
ABSL_FLAG(absl::Duration, warm_up, absl::ZeroDuration(),
          "Load before the measured time, not counted.");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(1), "Deadline of each query.");
ABSL_FLAG(double, urgent, 0, "Fraction of urgent queries, 0 to 1.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals.");
ABSL_FLAG(int, loops, 2, "Event loops of the load generator.");
ABSL_FLAG(std::string, policy, "damaskroute",
          "damaskroute, or baseline: random replica, one retry.");
ABSL_FLAG(std::string, declaration, "", "Declaration file or directory, for the baseline.");
ABSL_FLAG(std::string, format, "text", "text or json.");
ABSL_FLAG(std::string, label, "load", "Name of the run in the output.");
ABSL_FLAG(
    std::string, samples, "",
    "File to which a line per query is appended: arrival in ms, latency in ms, status, coverage, "
    "urgent.");
ABSL_FLAG(bool, timeline, false, "Also prints a line per second.");

namespace damaskroute::bench {
namespace {

constexpr char kUsage[] = R"(damaskbench - open-loop load on search fronts

usage: damaskbench --targets=IP:PORT,... --front=NAME [OPTIONS]

  --targets=IP:PORT,...   callers' ports of entry nodes
  --front=NAME            search front, or service for the baseline
  --query=JSON            query object, default {}
  --rate=N                queries per second, default 100
  --duration=SPAN         time over which queries arrive, default 5s
  --deadline=SPAN         deadline of each query, default 1s
  --urgent=N              fraction of urgent queries, 0 to 1, default 0
  --seed=N                seed of the arrivals, default 1
  --loops=N               event loops of the load generator, default 2
  --policy=NAME           damaskroute, or baseline: random replica, one retry
  --declaration=PATH      declaration file or directory, for the baseline
  --format=text|json      default text
  --label=NAME            name of the run in the output, default load
  --timeline              also prints a line per second
  --help, --version

The latency of a query counts from its scheduled arrival.
exit codes: 0 after the run, 1 unknown option, 2 wrong options
)";

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

absl::StatusOr<LoadOptions> ReadOptions() {
  LoadOptions options;
  for (const std::string& text : absl::GetFlag(FLAGS_targets)) {
    auto target = ParseEndpoint(text);
    if (!target.ok()) return target.status();
    options.targets.push_back(*target);
  }
  options.front = absl::GetFlag(FLAGS_front);
  options.query = absl::GetFlag(FLAGS_query);
  options.rate = absl::GetFlag(FLAGS_rate);
  options.duration = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
  options.warm_up = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_warm_up));
  options.deadline = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_deadline));
  options.urgent_fraction = absl::GetFlag(FLAGS_urgent);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.loops = absl::GetFlag(FLAGS_loops);
  if (options.front.empty()) return absl::InvalidArgumentError("--front is required");
  if (options.rate <= 0 || options.loops < 1) {
    return absl::InvalidArgumentError("--rate and --loops must be above 0");
  }
  return options;
}

absl::StatusOr<TargetFactory> MakeFactory(const LoadOptions& options) {
  if (absl::GetFlag(FLAGS_policy) != "baseline") {
    if (options.targets.empty()) return absl::InvalidArgumentError("--targets is required");
    return TargetFactory(
        [options](EventLoop& loop) { return std::make_unique<EntryTarget>(loop, options); });
  }
  auto files = ReadDeclarationFiles(absl::GetFlag(FLAGS_declaration));
  if (!files.ok()) return files.status();
  auto document = ParseDeclaration(*files);
  if (!document.ok()) return document.status();
  const Service* service = document->FindService(options.front);
  if (service == nullptr) return absl::NotFoundError("the service is not declared");
  IndexVersion version = 0;
  auto shards = FetchShards(*service, version);
  if (shards.empty()) return absl::UnavailableError("cannot read the shards");
  return TargetFactory([options, service = *service, shards, version](EventLoop& loop) {
    return std::make_unique<BaselineTarget>(loop, options, service, shards, version);
  });
}

void PrintText(const LoadResult& result, const LoadOptions& options) {
  std::uint64_t total = result.samples.size();
  double seconds = std::chrono::duration<double>(options.duration).count();
  fmt::print(
      "{:<22} queries {:>7}  answered {:>7}  good/s {:>7.1f}  coverage {:.5f}  p50 {:>7.2f} ms  "
      "p99 {:>7.2f} ms  p99.9 {:>7.2f} ms  urgent p99 {:>7.2f} ms  refused {}  failed {}\n",
      absl::GetFlag(FLAGS_label), total, result.CountAnswered(),
      static_cast<double>(result.CountGood(options.deadline)) / seconds, result.MeanCoverage(),
      Milliseconds(result.Quantile(0.5)), Milliseconds(result.Quantile(0.99)),
      Milliseconds(result.Quantile(0.999)), Milliseconds(result.Quantile(0.99, true)),
      result.CountWithStatus(503), total - result.CountAnswered() - result.CountWithStatus(503));
}

void PrintJson(const LoadResult& result, const LoadOptions& options) {
  double seconds = std::chrono::duration<double>(options.duration).count();
  fmt::print(
      R"({{"label":"{}","policy":"{}","rate":{},"queries":{},"answered":{},"good_per_second":{:.2f},)"
      R"("coverage":{:.6f},"p50_ms":{:.3f},"p99_ms":{:.3f},"p999_ms":{:.3f},"urgent_p99_ms":{:.3f},)"
      R"("refused":{}}})"
      "\n",
      absl::GetFlag(FLAGS_label), absl::GetFlag(FLAGS_policy), options.rate, result.samples.size(),
      result.CountAnswered(), static_cast<double>(result.CountGood(options.deadline)) / seconds,
      result.MeanCoverage(), Milliseconds(result.Quantile(0.5)),
      Milliseconds(result.Quantile(0.99)), Milliseconds(result.Quantile(0.999)),
      Milliseconds(result.Quantile(0.99, true)), result.CountWithStatus(503));
}

void PrintTimeline(const LoadResult& result, const LoadOptions& options) {
  for (std::chrono::seconds at{0}; at < options.duration; ++at) {
    LoadResult second;
    for (const QuerySample& sample : result.samples) {
      if (sample.scheduled >= at && sample.scheduled < at + std::chrono::seconds(1)) {
        second.samples.push_back(sample);
      }
    }
    fmt::print("  {:>3} s  queries {:>6}  failed {:>5}  coverage {:.5f}  p99 {:>8.2f} ms\n",
               at.count(), second.samples.size(), second.samples.size() - second.CountAnswered(),
               second.MeanCoverage(), Milliseconds(second.Quantile(0.99)));
  }
}

// Appends one line per sample to the file. Returns false if the file cannot be written.
bool AppendSamples(const LoadResult& result, const std::string& path) {
  std::ofstream file(path, std::ios::app);
  for (const QuerySample& sample : result.samples) {
    file << fmt::format("{} {:.3f} {} {:.6f} {}\n", sample.scheduled.count(),
                        Milliseconds(sample.latency), sample.status, sample.coverage,
                        sample.urgent ? 1 : 0);
  }
  return static_cast<bool>(file.flush());
}

int Run() {
  auto options = ReadOptions();
  if (!options.ok()) {
    fmt::print(stderr, "damaskbench: {}\n", ErrorText(options.status()));
    return 2;
  }
  auto factory = MakeFactory(*options);
  if (!factory.ok()) {
    fmt::print(stderr, "damaskbench: {}\n", ErrorText(factory.status()));
    return 2;
  }
  LoadResult result = RunLoad(*options, *factory);
  if (absl::GetFlag(FLAGS_format) == "json") {
    PrintJson(result, *options);
  } else {
    PrintText(result, *options);
  }
  if (absl::GetFlag(FLAGS_timeline)) PrintTimeline(result, *options);
  std::string samples = absl::GetFlag(FLAGS_samples);
  if (!samples.empty() && !AppendSamples(result, samples)) {
    fmt::print(stderr, "damaskbench: cannot write {}\n", samples);
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace damaskroute::bench

int main(int argc, char** argv) {
  const damaskroute::Program program{"damaskbench", DAMASKROUTE_VERSION,
                                     damaskroute::bench::kUsage};
  if (auto ended = program.HandleInfoFlags({argv + 1, argv + argc})) return Print(*ended);
  absl::ParseCommandLine(argc, argv);
  return damaskroute::bench::Run();
}
