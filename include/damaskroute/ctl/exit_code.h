#ifndef DAMASKROUTE_CTL_EXIT_CODE_H_
#define DAMASKROUTE_CTL_EXIT_CODE_H_

namespace damaskroute {

/// Exit codes of damaskctl, for scripts.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,            ///< Any other failure, including an unknown option.
  kInvalid = 2,           ///< Wrong arguments or an invalid declaration.
  kConflict = 3,          ///< The plan is stale: another change came first.
  kOverrideRequired = 4,  ///< The plan has severe warnings and no override was given.
  kUnavailable = 5,       ///< Node or store does not answer; nothing has changed.
  kUnknown = 6,           ///< The change may have taken effect; confirm again.
  kNotFound = 7,          ///< Unknown plan, zone, backend server, front or revision.
  kUnauthorized = 8,      ///< The token is missing or wrong.
  kDeclined = 9,          ///< The operator did not agree.
  kTimeout = 10,          ///< `status --wait` ended before the revision was in force.
};

/// Maps an HTTP status of the operators' or callers' interface to an exit code.
ExitCode ExitCodeOf(int http_status);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CTL_EXIT_CODE_H_
