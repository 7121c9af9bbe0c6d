#ifndef DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_
#define DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_

#include <string>

namespace damaskroute {

/// Exit code of all programs for wrong settings or a missing `--settings`.
inline constexpr int kExitSettings = 2;

/// How a program ends before it has done any work.
struct ProgramExit {
  int code = 0;
  std::string out;  ///< For standard output.
  std::string err;  ///< For standard error.
};

/// Prints both texts and returns the code.
int Print(const ProgramExit& exit);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_PROGRAM_EXIT_H_
