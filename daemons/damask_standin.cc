#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "damaskroute/core/asio.h"
#include "fmt/format.h"
#include "standins/backend_standin.h"
#include "standins/control_standin.h"
#include "standins/loop.h"
#include "standins/standin_settings.h"

ABSL_FLAG(std::string, settings, "", "YAML settings file");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace damaskroute::standins {
namespace {

constexpr int kExitSettings = 2;

void WaitForSignal() {
  asio::io_context io(1);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([](const boost::system::error_code&, int) {});
  io.run();
}

int Serve(const StandinSettings& settings) {
  std::vector<std::unique_ptr<Loop>> loops;
  for (int i = 0; i < settings.threads; ++i) loops.push_back(std::make_unique<Loop>());
  Loop control_loop;
  std::vector<std::unique_ptr<BackendStandin>> backends;
  std::vector<BackendStandin*> pointers;
  for (const BackendSettings& backend : settings.backends) {
    backends.push_back(std::make_unique<BackendStandin>(*loops[backends.size() % loops.size()],
                                                        backend.name, backend.endpoint,
                                                        backend.options, backend.versions));
    pointers.push_back(backends.back().get());
    absl::Status status = backends.back()->Start();
    if (!status.ok()) {
      fmt::print(stderr,
                 R"({{"level":"error","message":"{}"}})"
                 "\n",
                 std::string(status.message()));
      return 1;
    }
  }
  ControlStandin control(control_loop, pointers);
  if (settings.control) {
    absl::Status status = control.Start(*settings.control);
    if (!status.ok()) {
      fmt::print(stderr,
                 R"({{"level":"error","message":"{}"}})"
                 "\n",
                 std::string(status.message()));
      return 1;
    }
  }
  fmt::print(stderr,
             R"({{"level":"info","message":"serving","backends":{}}})"
             "\n",
             backends.size());
  WaitForSignal();
  return 0;
}

int Main() {
  auto settings = LoadStandinSettings(absl::GetFlag(FLAGS_settings));
  if (!settings.ok()) {
    fmt::print(stderr, "{}\n", std::string(settings.status().message()));
    return kExitSettings;
  }
  return absl::GetFlag(FLAGS_check) ? 0 : Serve(*settings);
}

}  // namespace
}  // namespace damaskroute::standins

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("damask_standin " DAMASKROUTE_VERSION "\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(
      "Stand-ins for backend servers and the platform, for tests and benchmarks.\n"
      "Usage: damask_standin --settings=FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  return damaskroute::standins::Main();
}
