#include <chrono>
#include <cstdint>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "tests/support/action_fixture.h"

ABSL_FLAG(std::uint64_t, count, 100'000, "Actions to run.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of faults, nodes and deadlines.");
ABSL_FLAG(int, threads, 16, "Concurrent callers.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs actions with repeated requests under random faults and counts violated guarantees.\n\n "
      " "
      "action_faults [--count=N] [--seed=N] [--threads=N]\n\nExit code 1 if a guarantee is "
      "violated.");
  absl::ParseCommandLine(argc, argv);
  damaskroute::SetLogLevel(damaskroute::LogLevel::kError);
  auto start = std::chrono::steady_clock::now();
  auto tally = damaskroute::testing::RunActionFaults(
      absl::GetFlag(FLAGS_count), absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_threads));
  std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  fmt::print("seed {}: {} ({:.1f} s)\n", absl::GetFlag(FLAGS_seed), tally.Text(), elapsed.count());
  bool violated = tally.doubled + tally.lost + tally.false_not_run + tally.false_ran > 0;
  return violated || tally.actions == 0 ? 1 : 0;
}
