#include "benchmark/model/named_days.h"

#include <string>

#include "absl/status/status.h"
#include "fmt/format.h"

namespace damaskroute::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kFaultStart{5000};
constexpr milliseconds kFaultDuration{6000};

// The users' deployment brekke-staffeli: 60% of its requests are searches, 20% urgent searches; the
// others are not queries and are left out.
ModelDay SmallDeployment() {
  ModelDay day;
  day.classes = {{.name = "search", .queries_per_second = 67.5, .value = 2},
                 {.name = "urgent",
                  .objective = milliseconds(60),
                  .caller_timeout = milliseconds(400),
                  .work = microseconds(6700),
                  .queries_per_second = 22.5,
                  .min_coverage = 0.75,
                  .priority = 1}};
  return day;
}

// The users' deployment brekke-staffeli-grown; `damaskmodel` uses it for the day `lonely_cut`.
ModelDay GrownDeployment() {
  constexpr int kNodesPerZone = 8;
  ModelDay day = SmallDeployment();
  day.node_zones.clear();
  for (const char* zone : {"a", "b", "c", "d"}) {
    day.node_zones.insert(day.node_zones.end(), kNodesPerZone, zone);
  }
  day.server_zones = {"a", "b", "c"};
  day.shards = 90;
  day.connections = 64;
  day.zone_delay = microseconds(500);
  day.budget.node_slack = 6;
  day.classes[0].queries_per_second = 34;
  day.classes[0].min_coverage = 0.95;
  day.classes[1].queries_per_second = 11;
  day.classes[1].min_coverage = 0.85;
  return day;
}

}  // namespace

absl::StatusOr<ModelDay> NamedDay(std::string_view name) {
  if (name == "lonely_cut") {
    ModelDay day = GrownDeployment();
    day.faults = {{FaultKind::kPartition, kFaultStart, kFaultDuration, 1, 0, "d"}};
    return day;
  }
  ModelDay day = SmallDeployment();
  if (name == "slow") {
    day.faults = {{FaultKind::kSlow, kFaultStart, kFaultDuration, 8, 0.15, {}}};
  } else if (name == "dark") {
    day.faults = {{FaultKind::kUnresponsive, kFaultStart, kFaultDuration, 1, 0.15, {}}};
  } else if (name == "limited") {
    day.faults = {{FaultKind::kRateLimit, kFaultStart, kFaultDuration, 0.5, 0.7, {}}};
  } else if (name == "cut") {
    day.faults = {{FaultKind::kPartition, kFaultStart, kFaultDuration, 1, 0, "b"}};
  } else if (name == "crowd") {
    day.faults = {{FaultKind::kLoadSpike, kFaultStart, kFaultDuration, 3, 0, {}}};
  } else if (name != "quiet") {
    return absl::NotFoundError(fmt::format("no day \"{}\", expected one of {}", name, kDayNames));
  }
  return day;
}

}  // namespace damaskroute::model
