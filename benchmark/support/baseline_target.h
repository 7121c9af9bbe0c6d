#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_BASELINE_TARGET_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_BASELINE_TARGET_H_

#include <map>
#include <memory>
#include <vector>

#include "benchmark/support/load_options.h"
#include "benchmark/support/query_target.h"
#include "damaskroute/config/service.h"
#include "damaskroute/core/key_range_set.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/peer/backend_report.h"

namespace damaskroute::bench {

/// A replica group of the baseline: the range and the backend servers that hold it.
struct BaselineShard {
  KeyRange range;
  std::vector<std::size_t> replicas;  ///< Positions in the service.
};

/// Reads the newest version that all backend servers report and its shards over `GET /health`.
/// Empty if a backend server cannot be read.
std::vector<BaselineShard> ReadShards(const Service& service, IndexVersion& version);

/// The policy to compare with: each shard call goes to a random replica, one immediate retry, no
/// second copies, no shares, no queue.
class BaselineTarget : public QueryTarget {
 public:
  BaselineTarget(EventLoop& loop, const LoadOptions& options, Service service,
                 std::vector<BaselineShard> shards, IndexVersion version);

  void Send(bool urgent, TimePoint deadline, Done done) override;

 private:
  struct Query;

  void Call(const std::shared_ptr<Query>& query, std::size_t shard, bool is_retry);

  EventLoop& loop_;
  const LoadOptions options_;
  const Service service_;
  const std::vector<BaselineShard> shards_;
  const IndexVersion version_;
  std::vector<std::unique_ptr<BackendClient>> clients_;
  std::uint64_t next_id_ = 1;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_BASELINE_TARGET_H_
