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

/// A class of queries with the same objective, load and value.
struct ModelQueryClass {
  std::string name;
  std::chrono::milliseconds objective{150};
  std::chrono::milliseconds caller_timeout{800};  ///< How long a caller waits for an answer.
  std::chrono::microseconds work{20'000};         ///< Mean processing time of one shard call.
  double queries_per_second = 60;                 ///< Over all nodes.
  double value = 1;
  double late_value = 0.1;     ///< Fraction of the value that an answer after the objective earns.
  double min_coverage = 0.89;  ///< Minimum fraction of the shards in an answer.
  int priority = 0;
};

enum class FaultKind : std::uint8_t {
  kSlow,          ///< Calls take `factor` times as long on a fraction of the servers.
  kUnresponsive,  ///< A fraction of the servers stops responding.
  kPartition,     ///< `zone` is isolated; callers still reach its nodes for two seconds.
  kRateLimit,     ///< A fraction of the servers states `factor` times the rate that they get.
  kLoadSpike,     ///< `factor` times as many queries arrive.
};

struct ModelFault {
  FaultKind kind = FaultKind::kSlow;
  std::chrono::milliseconds start{};
  std::chrono::milliseconds duration{};
  double factor = 1;
  double server_fraction = 0;
  ZoneName zone;
};

/// A deployment, its load and the faults that occur during the day.
struct ModelDay {
  std::vector<ZoneName> node_zones{"a", "a", "b", "c"};  ///< One entry per node.
  std::vector<ZoneName> server_zones{"a", "b"};  ///< Each shard has one server in each of them.
  int shards = 20;
  int slots = 2;
  int queue_limit = 12;
  int connections = 26;  ///< Connections to one server from all nodes.
  std::chrono::milliseconds pause{200};
  std::chrono::milliseconds pause_interval{4500};  ///< Period of the pauses; 0: no pauses.
  std::chrono::microseconds zone_delay{900};       ///< One-way delay between zones.
  std::chrono::microseconds caller_delay{1000};
  std::chrono::microseconds handshake{6000};  ///< Work of the server for a new connection.
  ExtraBudgetOptions budget{.ratio = 0.19, .node_slack = 12};
  std::vector<ModelQueryClass> classes;
  std::vector<ModelFault> faults;
  std::chrono::milliseconds length{20'000};
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_DAY_H_
