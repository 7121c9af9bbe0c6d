#ifndef DAMASKROUTE_SETTINGS_PROGRAM_H_
#define DAMASKROUTE_SETTINGS_PROGRAM_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/settings/program_exit.h"

namespace damaskroute {

/// Name, version and usage of a program, and the flags that all programs share.
struct Program {
  std::string name;
  std::string version;
  std::string usage;  ///< Help text with all flags and exit codes.

  /// Handles `--help` and `--version`, which exit with code 0; nullopt if neither is given. Must be
  /// called before Abseil parses the command line, because Abseil exits with code 1 after `--help`.
  /// `arguments` does not include the program's name.
  std::optional<ProgramExit> HandleInfoFlags(const std::vector<std::string>& arguments) const;

  /// Exits if no settings file was given, if loading it failed (`loaded`), or after `--check`;
  /// nullopt if the program continues.
  std::optional<ProgramExit> HandleSettingsStatus(const std::string& file,
                                                  const absl::Status& loaded, bool check) const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_PROGRAM_H_
