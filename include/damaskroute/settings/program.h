#ifndef DAMASKROUTE_SETTINGS_PROGRAM_H_
#define DAMASKROUTE_SETTINGS_PROGRAM_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/settings/program_exit.h"

namespace damaskroute {

/// What a program says about itself, and the flags that all programs share.
struct Program {
  std::string name;
  std::string version;
  std::string usage;  ///< With all flags and exit codes.

  /// Answers `--help` and `--version` with exit code 0; nullopt if neither is given. Call it before
  /// Abseil parses the command line, because Abseil ends the program with 1 after `--help`.
  /// `arguments` are those after the program's name.
  std::optional<ProgramExit> AnswerInfoFlags(const std::vector<std::string>& arguments) const;

  /// Ends the program if no settings file was named, if it was not read (`loaded`), or after
  /// `--check`; nullopt if the program is to go on.
  std::optional<ProgramExit> AfterSettings(const std::string& file, const absl::Status& loaded,
                                           bool check) const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_PROGRAM_H_
