#ifndef STANDINS_OPTION_TABLE_H_
#define STANDINS_OPTION_TABLE_H_

#include <array>
#include <string_view>

#include "absl/status/status.h"
#include "fmt/format.h"
#include "standins/option_text.h"

namespace damaskroute::standins {

inline constexpr std::string_view kCountExpected = "a whole number, 0 or greater";
inline constexpr std::string_view kTimeExpected = "a time such as 500us, 20ms or 3s";

/// Member of `Options` that can be set by name.
template <typename Options>
struct OptionEntry {
  std::string_view name;
  std::string_view expected;  ///< Description of valid values for error messages.
  bool (*set)(Options& options, std::string_view text);
};

/// Sets a member whose type `ParseOption` supports.
template <typename Options, auto Member>
bool SetMember(Options& options, std::string_view text) {
  return ParseOption(text, options.*Member);
}

/// Sets a member to a value from 0 to 1.
template <typename Options, auto Member>
bool SetProbability(Options& options, std::string_view text) {
  double value = 0;
  if (!ParseOption(text, value) || value > 1) return false;
  options.*Member = value;
  return true;
}

/// Sets the option called `name` from `text`. Returns NotFound for an unknown name and
/// InvalidArgument with the expected form for an invalid value; `options` is unchanged on error.
template <typename Options, std::size_t N>
absl::Status SetOption(const std::array<OptionEntry<Options>, N>& table, Options& options,
                       std::string_view name, std::string_view text) {
  for (const OptionEntry<Options>& entry : table) {
    if (entry.name != name) continue;
    if (entry.set(options, text)) return absl::OkStatus();
    return absl::InvalidArgumentError(fmt::format("{}: expected {}", name, entry.expected));
  }
  return absl::NotFoundError(fmt::format("unknown option {}", name));
}

}  // namespace damaskroute::standins

#endif  // STANDINS_OPTION_TABLE_H_
