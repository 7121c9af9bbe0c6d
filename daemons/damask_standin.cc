#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/settings/program.h"
#include "fmt/format.h"
#include "standins/backend_standin.h"
#include "standins/control_standin.h"
#include "standins/loop_thread.h"
#include "standins/platform_standin.h"
#include "standins/standin_settings.h"

ABSL_FLAG(std::string, settings, "", "YAML settings file");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace damaskroute::standins {
namespace {

constexpr char kUsage[] =
    R"(damask_standin - stand-ins for backend servers and the platform, for tests and benchmarks

usage: damask_standin --settings=FILE [--check]

  --settings=FILE    settings file (YAML)
  --check            check the settings file, then exit
  --help, --version

exit codes: 0 after a signal, 1 cannot start or unknown option, 2 wrong settings
)";

void WaitForSignal() {
  asio::io_context io(1);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([](const boost::system::error_code&, int) {});
  io.run();
}

int Fail(const absl::Status& status) {
  fmt::print(stderr, "{{\"level\":\"error\",\"message\":\"{}\"}}\n", std::string{status.message()});
  return 1;
}

int Serve(const StandinSettings& settings) {
  std::vector<std::unique_ptr<LoopThread>> loops;
  loops.reserve(static_cast<std::size_t>(settings.threads));
  for (int i = 0; i < settings.threads; ++i) loops.push_back(std::make_unique<LoopThread>());
  LoopThread control_loop;
  std::vector<std::unique_ptr<BackendStandin>> backends;
  std::vector<BackendStandin*> pointers;
  for (const BackendSettings& backend : settings.backends) {
    LoopThread& loop = *loops[backends.size() % loops.size()];
    backends.push_back(std::make_unique<BackendStandin>(loop, backend.name, backend.endpoint,
                                                        backend.options, backend.versions));
    pointers.push_back(backends.back().get());
    if (absl::Status status = backends.back()->Start(); !status.ok()) return Fail(status);
  }
  ControlStandin control(control_loop, pointers);
  if (settings.control) {
    if (absl::Status status = control.Start(*settings.control); !status.ok()) return Fail(status);
  }
  std::optional<PlatformStandin> platform;
  if (settings.platform) {
    platform.emplace(*loops[0], settings.platform->endpoint, settings.platform->options);
    if (absl::Status status = platform->Start(); !status.ok()) return Fail(status);
  }
  fmt::print(stderr, "{{\"level\":\"info\",\"message\":\"serving\",\"backends\":{}}}\n",
             backends.size());
  WaitForSignal();
  return 0;
}

}  // namespace
}  // namespace damaskroute::standins

int main(int argc, char** argv) {
  const damaskroute::Program program{"damask_standin", DAMASKROUTE_VERSION,
                                     damaskroute::standins::kUsage};
  if (auto early_exit = program.HandleInfoFlags({argv + 1, argv + argc})) return Print(*early_exit);
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  auto settings = damaskroute::standins::LoadStandinSettings(file);
  auto early_exit =
      program.HandleSettingsStatus(file, settings.status(), absl::GetFlag(FLAGS_check));
  return early_exit ? Print(*early_exit) : damaskroute::standins::Serve(*settings);
}
