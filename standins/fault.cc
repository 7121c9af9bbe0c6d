#include "standins/fault.h"

namespace damaskroute::standins {

std::optional<Fault> ParseFault(std::string_view name) {
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    if (kFaultNames[i] == name) return static_cast<Fault>(i);
  }
  return std::nullopt;
}

void FaultRules::Set(Fault fault, const FaultRule& rule) {
  rules_[static_cast<std::size_t>(fault)] = rule;
  any_active_ = false;
  for (const FaultRule& each : rules_) {
    any_active_ = any_active_ || each.probability > 0 || each.next > 0;
  }
}

bool FaultRules::ShouldInject(Fault fault, Random& random) {
  if (!any_active_) return false;
  FaultRule& rule = rules_[static_cast<std::size_t>(fault)];
  if (rule.next > 0) {
    --rule.next;
    return true;
  }
  return rule.probability > 0 && random.NextDouble() < rule.probability;
}

}  // namespace damaskroute::standins
