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

/// One backend server of the settings file.
struct BackendSettings {
  BackendName name;
  Endpoint endpoint;
  BackendOptions options;
  HeldVersions versions;
};

/// The platform in the settings file.
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
  int threads = 1;                  ///< Event loops; backend servers are spread over them.
  std::optional<Endpoint> control;  ///< Serves `/NAME/control...` of each backend server.
  std::vector<BackendSettings> backends;
  std::optional<PlatformSettings> platform;
};

/// Reads and checks the file. InvalidArgument with `FILE:LINE:COLUMN: what was expected` for the
/// first fault.
absl::StatusOr<StandinSettings> LoadStandinSettings(const std::string& path);

/// The same for YAML text; `path` stands in messages only.
absl::StatusOr<StandinSettings> ParseStandinSettings(const std::string& text,
                                                     const std::string& path);

}  // namespace damaskroute::standins

#endif  // STANDINS_STANDIN_SETTINGS_H_
