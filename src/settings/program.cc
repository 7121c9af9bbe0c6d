#include "damaskroute/settings/program.h"

#include "damaskroute/core/error_text.h"
#include "fmt/format.h"

namespace damaskroute {

int Print(const ProgramExit& exit) {
  fmt::print("{}", exit.out);
  fmt::print(stderr, "{}", exit.err);
  return exit.code;
}

std::optional<ProgramExit> Program::HandleInfoFlags(
    const std::vector<std::string>& arguments) const {
  for (const std::string& argument : arguments) {
    if (argument == "--") break;
    if (argument == "--help" || argument == "-help" || argument == "-h") {
      return ProgramExit{0, usage, ""};
    }
    if (argument == "--version" || argument == "-version") {
      return ProgramExit{0, fmt::format("{} {}\n", name, version), ""};
    }
  }
  return std::nullopt;
}

std::optional<ProgramExit> Program::HandleSettingsStatus(const std::string& file,
                                                         const absl::Status& loaded,
                                                         bool check) const {
  if (file.empty()) {
    return ProgramExit{kExitSettings, "",
                       fmt::format("{}: --settings=FILE is required, see --help\n", name)};
  }
  if (!loaded.ok()) return ProgramExit{kExitSettings, "", ErrorText(loaded) + "\n"};
  if (check) return ProgramExit{0, fmt::format("{}: OK\n", file), ""};
  return std::nullopt;
}

}  // namespace damaskroute
