#include <chrono>
#include <cstdint>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "tests/support/action_world.h"

ABSL_FLAG(std::uint64_t, count, 100'000, "Actions to run.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of faults, nodes and deadlines.");
ABSL_FLAG(int, threads, 16, "Callers at the same time.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs actions with repeats under random faults and counts broken guarantees.\n\n  "
      "action_faults [--count=N] [--seed=N] [--threads=N]\n\nExit code 1 if one is broken.");
  absl::ParseCommandLine(argc, argv);
  damaskroute::SetLogLevel(damaskroute::LogLevel::kError);
  auto begin = std::chrono::steady_clock::now();
  auto tally = damaskroute::testing::RunActionFaults(
      absl::GetFlag(FLAGS_count), absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_threads));
  std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  fmt::print("seed {}: {} ({:.1f} s)\n", absl::GetFlag(FLAGS_seed), tally.Text(), elapsed.count());
  bool broken = tally.doubled + tally.lost + tally.false_not_run + tally.false_ran > 0;
  return broken || tally.actions == 0 ? 1 : 0;
}
