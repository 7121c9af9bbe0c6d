#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_

#include <string>

#include "damaskroute/config/config_document.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute::bench {

/// Zones of the target: 2 regions with 5 availability zones.
inline constexpr int kTargetZones = 5;

/// Configuration of `backends` backend servers in services of `backends_per_service`, each with a
/// front, spread over the zones; names and addresses are as long as those of a large fleet.
ConfigDocument MakeTargetConfig(int backends, int backends_per_service);

/// Roster of `seats` nodes spread over the same zones.
Roster MakeTargetRoster(int seats);

/// The configuration as the YAML text of a declaration.
std::string DeclarationText(const ConfigDocument& config);

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_
