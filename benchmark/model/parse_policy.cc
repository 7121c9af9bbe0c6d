#include "benchmark/model/parse_policy.h"

#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "fmt/format.h"

namespace damaskroute::model {
namespace {

// In microseconds; a cost of one second keeps all calls in the local zone.
constexpr double kMaxZoneCost = 1'000'000;

absl::StatusOr<double> ParseNumber(const std::string& key, const std::string& value, double min,
                                   double max) {
  double number = 0;
  if (!absl::SimpleAtod(value, &number) || !(number >= min && number <= max)) {
    return absl::InvalidArgumentError(
        fmt::format("{}: expected a number from {} to {}, got \"{}\"", key, min, max, value));
  }
  return number;
}

absl::Status ApplyNumber(const std::string& key, const std::string& value, ModelPolicy& policy) {
  constexpr double kMinHedgeAfter = 0.01;
  double min = key == "copy_after" ? kMinHedgeAfter : 0;
  auto number = ParseNumber(key, value, min, key == "zone_cost_us" ? kMaxZoneCost : 1);
  if (!number.ok()) return number.status();
  if (key == "copy_after") policy.hedge_after = *number;
  if (key == "extra_ratio") policy.extra_ratio = *number;
  if (key == "zone_cost_us") {
    policy.zone_cost = std::chrono::microseconds(static_cast<std::int64_t>(*number));
  }
  return absl::OkStatus();
}

absl::Status Apply(const std::string& key, const std::string& value, ModelPolicy& policy) {
  if (key == "copy_after" || key == "extra_ratio" || key == "zone_cost_us") {
    return ApplyNumber(key, value, policy);
  }
  if (key != "limit") {
    return absl::InvalidArgumentError(fmt::format(
        "unknown key \"{}\", expected copy_after, extra_ratio, zone_cost_us or limit", key));
  }
  if (value != "on" && value != "off") {
    return absl::InvalidArgumentError(fmt::format("limit: expected on or off, got \"{}\"", value));
  }
  policy.limit_queries = value == "on";
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<ModelPolicy> ParsePolicy(std::string_view text) {
  ModelPolicy policy;
  for (absl::string_view entry :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',', absl::SkipEmpty())) {
    std::pair<std::string, std::string> pair = absl::StrSplit(entry, absl::MaxSplits('=', 1));
    absl::Status status = Apply(pair.first, pair.second, policy);
    if (!status.ok()) return status;
  }
  return policy;
}

}  // namespace damaskroute::model
