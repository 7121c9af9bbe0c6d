#ifndef STANDINS_STANDIN_SETTINGS_H_
#define STANDINS_STANDIN_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "standins/backend_options.h"
#include "standins/backend_standin.h"
#include "standins/platform_options.h"

namespace damaskroute::standins {

/// Settings of one backend server.
struct BackendSettings {
  BackendName name;
  Endpoint endpoint;
  BackendOptions options;
  HeldVersions versions;
};

/// Settings of the platform.
struct PlatformSettings {
  Endpoint endpoint;
  PlatformOptions options;
};

/// Settings of `damask_standin`. Example:
///
///     threads: 2
///     control: 127.0.0.1:9000
///     defaults: {slots: 3, service_time: 2ms}
///     backends:
///       - name: b1
///         endpoint: 127.0.0.1:9001
///         versions: {1: [0-2147483648]}
///         slots: 2
///     platform: {endpoint: 127.0.0.1:9500}
struct StandinSettings {
  int threads = 1;                  ///< Number of event loops that share the backend servers.
  std::optional<Endpoint> control;  ///< Endpoint of the `ControlStandin`.
  std::vector<BackendSettings> backends;
  std::optional<PlatformSettings> platform;
};

/// Reads and validates a settings file. Returns InvalidArgument with a message of the form
/// `FILE:LINE:COLUMN: what was expected` for the first error.
absl::StatusOr<StandinSettings> LoadStandinSettings(const std::string& path);

/// Parses and validates YAML text like `LoadStandinSettings`. `path` is used in messages only.
absl::StatusOr<StandinSettings> ParseStandinSettings(const std::string& text,
                                                     const std::string& path);

}  // namespace damaskroute::standins

#endif  // STANDINS_STANDIN_SETTINGS_H_
