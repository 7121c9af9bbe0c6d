#include <signal.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/entry_node.h"
#include "damaskroute/settings/node_settings.h"
#include "damaskroute/settings/program.h"

ABSL_FLAG(std::string, settings, "", "Settings file (YAML).");
ABSL_FLAG(bool, check, false, "Check the settings file, then exit.");

namespace {

constexpr int kExitStartFailed = 3;

constexpr char kUsage[] = R"(damaskrouted - entry node of damaskroute

usage: damaskrouted --settings=FILE [--check]

  --settings=FILE    settings file (YAML), see docs/OPERATIONS.md
  --check            check the settings file, then exit
  --help, --version

exit codes: 0 after a graceful shutdown, 1 unknown option, 2 wrong settings, 3 cannot start
)";

damaskroute::Incarnation NewIncarnation() {
  return static_cast<damaskroute::Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void BlockSignals(sigset_t* signals) {
  sigemptyset(signals);
  sigaddset(signals, SIGTERM);
  sigaddset(signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

int Run(damaskroute::NodeSettings settings) {
  // Blocks the signals before any thread starts, so that only sigwait receives them.
  sigset_t signals;
  BlockSignals(&signals);
  damaskroute::SetLogLevel(settings.log_level);
  damaskroute::EntryNode node(std::move(settings), NewIncarnation());
  absl::Status status = node.Start();
  if (!status.ok()) {
    damaskroute::LogLine(damaskroute::LogLevel::kError, "cannot start")
        .Field("error", damaskroute::ErrorText(status));
    return kExitStartFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  node.Drain();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const damaskroute::Program program{"damaskrouted", DAMASKROUTE_VERSION, kUsage};
  if (auto early_exit = program.HandleInfoFlags({argv + 1, argv + argc})) return Print(*early_exit);
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  auto settings = damaskroute::LoadNodeSettings(file);
  auto early_exit =
      program.HandleSettingsStatus(file, settings.status(), absl::GetFlag(FLAGS_check));
  return early_exit ? Print(*early_exit) : Run(*std::move(settings));
}
