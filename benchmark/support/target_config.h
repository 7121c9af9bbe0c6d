#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_

#include <string>

#include "damaskroute/config/config_document.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute::bench {

/// Number of availability zones of the target deployment, which spans 2 regions.
inline constexpr int kTargetZones = 5;

/// Makes a configuration of `backends` backend servers spread over the zones, in services of
/// `backends_per_service` with one search front each. Names and addresses are as long as those of a
/// large fleet.
ConfigDocument MakeTargetConfig(int backends, int backends_per_service);

/// Makes a roster of `node_count` nodes spread over the same zones.
Roster MakeTargetRoster(int node_count);

/// Formats the configuration as a declaration in YAML.
std::string DeclarationText(const ConfigDocument& config);

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_TARGET_CONFIG_H_
