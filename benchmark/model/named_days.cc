#include "benchmark/model/named_days.h"

#include <string>

#include "absl/status/status.h"
#include "fmt/format.h"

namespace damaskroute::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kFrom{5000};
constexpr milliseconds kSpan{6000};

// brekke-staffeli, 60% searches, 20% urgent ones; the rest are no queries.
ModelDay SmallDeployment() {
  ModelDay day;
  day.classes = {{.name = "search", .per_second = 67.5, .worth = 2},
                 {.name = "urgent",
                  .objective = milliseconds(60),
                  .patience = milliseconds(400),
                  .work = microseconds(6700),
                  .per_second = 22.5,
                  .min_coverage = 0.75,
                  .priority = 1}};
  return day;
}

// brekke-staffeli-grown.
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
  day.classes[0].per_second = 34;
  day.classes[0].min_coverage = 0.95;
  day.classes[1].per_second = 11;
  day.classes[1].min_coverage = 0.85;
  return day;
}

}  // namespace

absl::StatusOr<ModelDay> NamedDay(std::string_view name) {
  if (name == "lonely_cut") {
    ModelDay day = GrownDeployment();
    day.troubles = {{TroubleKind::kCut, kFrom, kSpan, 1, 0, "d"}};
    return day;
  }
  ModelDay day = SmallDeployment();
  if (name == "slow") {
    day.troubles = {{TroubleKind::kSlow, kFrom, kSpan, 8, 0.15, {}}};
  } else if (name == "dark") {
    day.troubles = {{TroubleKind::kDark, kFrom, kSpan, 1, 0.15, {}}};
  } else if (name == "cut") {
    day.troubles = {{TroubleKind::kCut, kFrom, kSpan, 1, 0, "b"}};
  } else if (name == "crowd") {
    day.troubles = {{TroubleKind::kCrowd, kFrom, kSpan, 3, 0, {}}};
  } else if (name != "quiet") {
    return absl::NotFoundError(fmt::format("no day \"{}\", expected one of {}", name, kDayNames));
  }
  return day;
}

}  // namespace damaskroute::model
