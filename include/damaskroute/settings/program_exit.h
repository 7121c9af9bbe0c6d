#ifndef DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_
#define DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_

#include <string>

namespace damaskroute {

/// Exit code of all programs for invalid settings or a missing `--settings`.
inline constexpr int kExitSettings = 2;

/// Exit code and output of a program that exits before it does any work.
struct ProgramExit {
  int code = 0;
  std::string out;  ///< For standard output.
  std::string err;  ///< For standard error.
};

/// Prints `out` and `err` and returns the exit code.
int Print(const ProgramExit& exit);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_
