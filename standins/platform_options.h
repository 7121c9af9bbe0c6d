#ifndef STANDINS_PLATFORM_OPTIONS_H_
#define STANDINS_PLATFORM_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "absl/status/status.h"

namespace damaskroute::standins {

/// Behaviour of the platform stand-in. Each member can be set by its name in the settings file
/// and, while running, in `POST /control`.
struct PlatformOptions {
  std::uint64_t reads_per_second = 0;   ///< Further reads and watches get 429; 0 is no limit.
  std::uint64_t writes_per_second = 0;  ///< The same for writes and lease calls.
  bool refuse = false;                  ///< Outage: each call gets 503 without effect.
  bool silent = false;                  ///< Outage: no call gets an answer or has an effect.
  std::chrono::microseconds delay{0};   ///< Pause before each call is handled.
  double lose_probability = 0;          ///< Writes that take effect and get a reset, not an answer.
  std::uint64_t lose_next = 0;          ///< The same for so many next writes.
  std::uint64_t silence_next = 0;       ///< So many next writes take effect without an answer.
  std::uint64_t reset_next = 0;         ///< So many next writes get a reset without an effect.
  std::chrono::microseconds vm_lag{0};  ///< A changed VM list shows so much later.
};

/// Sets the member called `name`. NotFound for an unknown name, InvalidArgument with the expected
/// form for a bad value; `options` is then unchanged.
absl::Status SetPlatformOption(PlatformOptions& options, std::string_view name,
                               std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_OPTIONS_H_
