#include "standins/platform_options.h"

#include <array>

#include "fmt/format.h"
#include "standins/option_text.h"

namespace damaskroute::standins {
namespace {

struct OptionEntry {
  std::string_view name;
  std::string_view expected;
  bool (*set)(PlatformOptions& options, std::string_view text);
};

template <auto Member>
bool SetMember(PlatformOptions& options, std::string_view text) {
  return ParseOption(text, options.*Member);
}

bool SetLoseProbability(PlatformOptions& options, std::string_view text) {
  double value = 0;
  if (!ParseOption(text, value) || value > 1) return false;
  options.lose_probability = value;
  return true;
}

constexpr std::string_view kCount = "a whole number, 0 or greater";
constexpr std::string_view kTime = "a time such as 500us, 20ms or 3s";

using P = PlatformOptions;
constexpr std::array kOptions = {
    OptionEntry{"reads_per_second", kCount, SetMember<&P::reads_per_second>},
    OptionEntry{"writes_per_second", kCount, SetMember<&P::writes_per_second>},
    OptionEntry{"refuse", "true or false", SetMember<&P::refuse>},
    OptionEntry{"silent", "true or false", SetMember<&P::silent>},
    OptionEntry{"delay", kTime, SetMember<&P::delay>},
    OptionEntry{"lose_probability", "a number from 0 to 1", SetLoseProbability},
    OptionEntry{"lose_next", kCount, SetMember<&P::lose_next>},
    OptionEntry{"silence_next", kCount, SetMember<&P::silence_next>},
    OptionEntry{"reset_next", kCount, SetMember<&P::reset_next>},
    OptionEntry{"vm_lag", kTime, SetMember<&P::vm_lag>},
};

}  // namespace

absl::Status SetPlatformOption(PlatformOptions& options, std::string_view name,
                               std::string_view text) {
  for (const OptionEntry& entry : kOptions) {
    if (entry.name != name) continue;
    if (entry.set(options, text)) return absl::OkStatus();
    return absl::InvalidArgumentError(fmt::format("{}: expected {}", name, entry.expected));
  }
  return absl::NotFoundError(fmt::format("unknown option {}", name));
}

}  // namespace damaskroute::standins
