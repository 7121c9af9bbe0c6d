#include <signal.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/entry_node.h"
#include "damaskroute/settings/node_settings.h"
#include "fmt/format.h"

ABSL_FLAG(std::string, settings, "", "Settings file (YAML).");
ABSL_FLAG(bool, check, false, "Check the settings file, then exit.");

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

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
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t signals;
  BlockSignals(&signals);
  damaskroute::SetLogLevel(settings.log_level);
  damaskroute::EntryNode node(std::move(settings), NewIncarnation());
  absl::Status status = node.Start();
  if (!status.ok()) {
    damaskroute::LogLine(damaskroute::LogLevel::kError, "cannot start")
        .Field("error", damaskroute::ErrorText(status));
    return kExitStart;
  }
  int received = 0;
  sigwait(&signals, &received);
  node.Drain();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Entry node of damaskroute.\n\n  damaskrouted --settings=FILE [--check]\n\nExit codes: 0 "
      "after a graceful shutdown, 2 for wrong settings, 3 if the node cannot start.");
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("damaskrouted " DAMASKROUTE_VERSION "\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) {
    fmt::print(stderr, "damaskrouted: --settings=FILE is required, see --help\n");
    return kExitSettings;
  }
  auto settings = damaskroute::LoadNodeSettings(file);
  if (!settings.ok()) {
    fmt::print(stderr, "{}\n", damaskroute::ErrorText(settings.status()));
    return kExitSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    fmt::print("{}: OK\n", file);
    return 0;
  }
  return Run(*std::move(settings));
}
