#include "standins/platform_options.h"

#include "standins/option_table.h"

namespace damaskroute::standins {
namespace {

using P = PlatformOptions;
constexpr std::array kOptions = {
    OptionEntry<P>{"reads_per_second", kCountExpected, SetMember<P, &P::reads_per_second>},
    OptionEntry<P>{"writes_per_second", kCountExpected, SetMember<P, &P::writes_per_second>},
    OptionEntry<P>{"refuse", "true or false", SetMember<P, &P::refuse>},
    OptionEntry<P>{"silent", "true or false", SetMember<P, &P::silent>},
    OptionEntry<P>{"delay", kTimeExpected, SetMember<P, &P::delay>},
    OptionEntry<P>{"lose_probability", "a number from 0 to 1",
                   SetProbability<P, &P::lose_probability>},
    OptionEntry<P>{"lose_next", kCountExpected, SetMember<P, &P::lose_next>},
    OptionEntry<P>{"silence_next", kCountExpected, SetMember<P, &P::silence_next>},
    OptionEntry<P>{"reset_next", kCountExpected, SetMember<P, &P::reset_next>},
    OptionEntry<P>{"vm_lag", kTimeExpected, SetMember<P, &P::vm_lag>},
};

}  // namespace

absl::Status SetPlatformOption(PlatformOptions& options, std::string_view name,
                               std::string_view text) {
  return SetOption(kOptions, options, name, text);
}

}  // namespace damaskroute::standins
