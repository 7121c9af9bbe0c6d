#include "standins/backend_options.h"

#include "standins/option_table.h"

namespace damaskroute::standins {
namespace {

template <auto Member>
bool SetText(BackendOptions& options, std::string_view text) {
  options.*Member = std::string(text);
  return true;
}

bool SetRecords(BackendOptions& options, std::string_view text) {
  std::uint64_t value = 0;
  if (!ParseOption(text, value) || value > 10'000'000) return false;
  options.records = value;
  return true;
}

bool SetSlots(BackendOptions& options, std::string_view text) {
  int value = 0;
  if (!ParseOption(text, value) || value < 1) return false;
  options.slots = value;
  return true;
}

constexpr std::string_view kFactor = "a number, 0 or greater";
constexpr std::string_view kProbability = "a number from 0 to 1";
constexpr std::string_view kBool = "true or false";
constexpr std::string_view kText = "a text";

using B = BackendOptions;
constexpr std::array kOptions = {
    OptionEntry<B>{"seed", kCountExpected, SetMember<B, &B::seed>},
    OptionEntry<B>{"index_seed", kCountExpected, SetMember<B, &B::index_seed>},
    OptionEntry<B>{"records", "a whole number up to 10000000", SetRecords},
    OptionEntry<B>{"slots", "a whole number, 1 or greater", SetSlots},
    OptionEntry<B>{"queue_length", kCountExpected, SetMember<B, &B::queue_length>},
    OptionEntry<B>{"connections", kCountExpected, SetMember<B, &B::connections>},
    OptionEntry<B>{"connect_cost", kTimeExpected, SetMember<B, &B::connect_cost>},
    OptionEntry<B>{"service_time", kTimeExpected, SetMember<B, &B::service_time>},
    OptionEntry<B>{"service_jitter", kTimeExpected, SetMember<B, &B::service_jitter>},
    OptionEntry<B>{"straggler_probability", kProbability,
                   SetProbability<B, &B::straggler_probability>},
    OptionEntry<B>{"straggler_factor", kFactor, SetMember<B, &B::straggler_factor>},
    OptionEntry<B>{"starts_cold", kBool, SetMember<B, &B::starts_cold>},
    OptionEntry<B>{"cold_slots", kCountExpected, SetMember<B, &B::cold_slots>},
    OptionEntry<B>{"cold_factor", kFactor, SetMember<B, &B::cold_factor>},
    OptionEntry<B>{"cold_collapse", kFactor, SetMember<B, &B::cold_collapse>},
    OptionEntry<B>{"cold_calls", kCountExpected, SetMember<B, &B::cold_calls>},
    OptionEntry<B>{"state_lag", kTimeExpected, SetMember<B, &B::state_lag>},
    OptionEntry<B>{"reported_state", kText, SetText<&B::reported_state>},
    OptionEntry<B>{"hide_cold", kBool, SetMember<B, &B::hide_cold>},
    OptionEntry<B>{"reported_in_flight", kText, SetText<&B::reported_in_flight>},
    OptionEntry<B>{"restart_delay", kTimeExpected, SetMember<B, &B::restart_delay>},
    OptionEntry<B>{"late_delay", kTimeExpected, SetMember<B, &B::late_delay>},
    OptionEntry<B>{"crash_marker", kText, SetText<&B::crash_marker>},
    OptionEntry<B>{"ignore_deadline", kBool, SetMember<B, &B::ignore_deadline>},
    OptionEntry<B>{"ignore_cancel", kBool, SetMember<B, &B::ignore_cancel>},
    OptionEntry<B>{"log_length", kCountExpected, SetMember<B, &B::log_length>},
};

}  // namespace

absl::Status SetBackendOption(BackendOptions& options, std::string_view name,
                              std::string_view text) {
  return SetOption(kOptions, options, name, text);
}

}  // namespace damaskroute::standins
