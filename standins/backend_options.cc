#include "standins/backend_options.h"

#include <array>

#include "fmt/format.h"
#include "standins/option_text.h"

namespace damaskroute::standins {
namespace {

struct OptionEntry {
  std::string_view name;
  std::string_view expected;
  bool (*set)(BackendOptions& options, std::string_view text);
};

template <auto Member>
bool SetMember(BackendOptions& options, std::string_view text) {
  return ParseOption(text, options.*Member);
}

template <auto Member>
bool SetProbability(BackendOptions& options, std::string_view text) {
  double value = 0;
  if (!ParseOption(text, value) || value > 1) return false;
  options.*Member = value;
  return true;
}

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

constexpr std::string_view kCount = "a whole number, 0 or greater";
constexpr std::string_view kTime = "a time such as 500us, 20ms or 3s";
constexpr std::string_view kFactor = "a number, 0 or greater";
constexpr std::string_view kProbability = "a number from 0 to 1";
constexpr std::string_view kBool = "true or false";
constexpr std::string_view kText = "a text";

using B = BackendOptions;
constexpr std::array kOptions = {
    OptionEntry{"seed", kCount, SetMember<&B::seed>},
    OptionEntry{"index_seed", kCount, SetMember<&B::index_seed>},
    OptionEntry{"records", "a whole number up to 10000000", SetRecords},
    OptionEntry{"slots", "a whole number, 1 or greater", SetSlots},
    OptionEntry{"queue_length", kCount, SetMember<&B::queue_length>},
    OptionEntry{"connections", kCount, SetMember<&B::connections>},
    OptionEntry{"connect_cost", kTime, SetMember<&B::connect_cost>},
    OptionEntry{"service_time", kTime, SetMember<&B::service_time>},
    OptionEntry{"service_jitter", kTime, SetMember<&B::service_jitter>},
    OptionEntry{"straggler_probability", kProbability, SetProbability<&B::straggler_probability>},
    OptionEntry{"straggler_factor", kFactor, SetMember<&B::straggler_factor>},
    OptionEntry{"starts_cold", kBool, SetMember<&B::starts_cold>},
    OptionEntry{"cold_slots", kCount, SetMember<&B::cold_slots>},
    OptionEntry{"cold_factor", kFactor, SetMember<&B::cold_factor>},
    OptionEntry{"cold_collapse", kFactor, SetMember<&B::cold_collapse>},
    OptionEntry{"cold_calls", kCount, SetMember<&B::cold_calls>},
    OptionEntry{"state_lag", kTime, SetMember<&B::state_lag>},
    OptionEntry{"reported_state", kText, SetText<&B::reported_state>},
    OptionEntry{"hide_cold", kBool, SetMember<&B::hide_cold>},
    OptionEntry{"reported_in_flight", kText, SetText<&B::reported_in_flight>},
    OptionEntry{"restart_delay", kTime, SetMember<&B::restart_delay>},
    OptionEntry{"late_delay", kTime, SetMember<&B::late_delay>},
    OptionEntry{"crash_marker", kText, SetText<&B::crash_marker>},
    OptionEntry{"ignore_deadline", kBool, SetMember<&B::ignore_deadline>},
    OptionEntry{"ignore_cancel", kBool, SetMember<&B::ignore_cancel>},
    OptionEntry{"log_length", kCount, SetMember<&B::log_length>},
};

}  // namespace

absl::Status SetBackendOption(BackendOptions& options, std::string_view name,
                              std::string_view text) {
  for (const OptionEntry& entry : kOptions) {
    if (entry.name != name) continue;
    if (entry.set(options, text)) return absl::OkStatus();
    return absl::InvalidArgumentError(fmt::format("{}: expected {}", name, entry.expected));
  }
  return absl::NotFoundError(fmt::format("unknown option {}", name));
}

}  // namespace damaskroute::standins
