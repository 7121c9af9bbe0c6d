#ifndef DAMASKROUTE_CTL_CTL_H_
#define DAMASKROUTE_CTL_CTL_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/ctl/exit_code.h"
#include "damaskroute/ctl/http_call.h"
#include "damaskroute/intent/plan_request.h"

namespace damaskroute {

/// Options of damaskctl.
struct CtlOptions {
  std::string endpoint;          ///< Operators' address of a node.
  std::string callers_endpoint;  ///< Callers' address of a node, for `query`.
  std::string token;
  std::string file;   ///< Declaration: file or directory.
  bool json = false;  ///< JSON output instead of tables.
  bool yes = false;
  bool override_warnings = false;
  Revision wait = 0;  ///< Revision that `status` waits for until it is in force; 0 for none.
  std::chrono::milliseconds timeout{30'000};
};

/// Input, output and network access of damaskctl; replaced in tests.
struct CtlIo {
  std::function<void(const std::string&)> out;
  std::function<void(const std::string&)> err;
  /// Asks the operator a yes/no question; returns nullopt without a terminal.
  std::function<std::optional<bool>(const std::string&)> prompt;
  std::function<absl::StatusOr<HttpAnswer>(const HttpCall&)> call;
  std::function<void(std::chrono::milliseconds)> sleep;
};

/// Usage text with commands, options and exit codes.
std::string CtlUsage();

/// Implements the commands of damaskctl.
class Ctl {
 public:
  Ctl(CtlOptions options, CtlIo io);

  /// Runs a command with its arguments, for example `{"zone", "out", "bogota-a"}`.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  ExitCode Check();
  ExitCode Plan();
  ExitCode Confirm(const std::string& plan_id);
  ExitCode Apply(const PlanRequest& request);
  ExitCode ApplyFile();
  ExitCode Status();
  ExitCode Show(const std::string& path);
  ExitCode Rollback(const std::string& revision);
  ExitCode Query(const std::string& front, const std::string& query);
  ExitCode Usage(const std::string& problem);

  absl::StatusOr<PlanRequest> ReadFile();
  absl::StatusOr<HttpAnswer> CallNode(const std::string& method, const std::string& path,
                                      const std::string& body);
  ExitCode ConfirmPlan(const std::string& plan_id, const ConfirmRequest& request);
  ExitCode Report(const absl::StatusOr<HttpAnswer>& answer);
  ExitCode Invalid(const absl::Status& status);

  CtlOptions options_;
  CtlIo io_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CTL_CTL_H_
