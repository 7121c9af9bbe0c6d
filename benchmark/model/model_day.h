#ifndef BENCHMARK_MODEL_MODEL_DAY_H_
#define BENCHMARK_MODEL_MODEL_DAY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/forward/extra_budget_options.h"

namespace damaskroute::model {

/// One kind of query.
struct ModelClass {
  std::string name;
  std::chrono::milliseconds objective{150};
  std::chrono::milliseconds patience{800};  ///< How long its callers wait.
  std::chrono::microseconds work{20'000};   ///< Mean work of one shard call.
  double per_second = 60;                   ///< Over all nodes.
  double worth = 1;
  double late_worth = 0.1;     ///< Part of the worth of an answer after the objective.
  double min_coverage = 0.89;  ///< Least share of the shards in an answer.
  int priority = 0;
};

enum class TroubleKind : std::uint8_t {
  kSlow,   ///< Work takes `factor` times as long at a share of the servers.
  kDark,   ///< A share of the servers gives no sign of life.
  kCut,    ///< `zone` is cut off from the others; callers still reach its nodes for two seconds.
  kCrowd,  ///< `factor` times as many queries.
};

struct ModelTrouble {
  TroubleKind kind = TroubleKind::kSlow;
  std::chrono::milliseconds from{};
  std::chrono::milliseconds span{};
  double factor = 1;
  double share = 0;
  ZoneName zone;
};

/// A deployment and its troubles.
struct ModelDay {
  std::vector<ZoneName> node_zones{"a", "a", "b", "c"};  ///< One entry a node.
  std::vector<ZoneName> server_zones{"a", "b"};  ///< Each shard has a server in each of them.
  int shards = 20;
  int slots = 2;
  int queue = 12;
  int connections = 26;  ///< Of a server, over all nodes.
  std::chrono::milliseconds pause{200};
  std::chrono::milliseconds pause_every{4500};  ///< 0: servers do not pause.
  std::chrono::microseconds zone_delay{900};    ///< One way between zones.
  std::chrono::microseconds caller_delay{1000};
  std::chrono::microseconds handshake{6000};  ///< That a new connection costs its server.
  ExtraBudgetOptions budget{.ratio = 0.19, .node_slack = 12};
  std::vector<ModelClass> classes;
  std::vector<ModelTrouble> troubles;
  std::chrono::milliseconds length{20'000};
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_DAY_H_
