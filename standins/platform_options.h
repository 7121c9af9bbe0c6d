#ifndef STANDINS_PLATFORM_OPTIONS_H_
#define STANDINS_PLATFORM_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "absl/status/status.h"

namespace damaskroute::standins {

/// Configurable behaviour of the platform stand-in. Each member can be set by its name in the
/// settings file and, at run time, with `POST /control`.
struct PlatformOptions {
  std::uint64_t reads_per_second = 0;   ///< Limit of reads and watches, above it 429; 0: none.
  std::uint64_t writes_per_second = 0;  ///< Limit of writes and lease calls, above it 429; 0: none.
  bool refuse = false;                  ///< Outage: calls get 503 and have no effect.
  bool silent = false;                  ///< Outage: calls get no response and have no effect.
  std::chrono::microseconds delay{0};   ///< Delay before a call is processed.
  double lose_probability = 0;          ///< Probability that a write takes effect but gets a reset.
  std::uint64_t lose_next = 0;          ///< Next writes that take effect but get a reset.
  std::uint64_t silence_next = 0;       ///< Next writes that take effect but get no response.
  std::uint64_t reset_next = 0;         ///< Next writes that get a reset and have no effect.
  std::chrono::microseconds vm_lag{0};  ///< Delay until a new VM list is visible.
};

/// Sets the member called `name` from `text`. Returns NotFound for an unknown name and
/// InvalidArgument with the expected form for an invalid value; `options` is unchanged on error.
absl::Status SetPlatformOption(PlatformOptions& options, std::string_view name,
                               std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_OPTIONS_H_
