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

/// A key range and the backend servers that hold it.
struct BaselineShard {
  KeyRange range;
  std::vector<std::size_t> replicas;  ///< Indexes into `Service::backends`.
};

/// Reads the newest index version that any backend server reports, and the shards of that version,
/// by `GET /health`. Returns no shards if the health of a backend server cannot be read.
std::vector<BaselineShard> FetchShards(const Service& service, IndexVersion& version);

/// Baseline policy for comparison: each shard call goes to a random replica, with one immediate
/// retry and without hedging, shares or a queue.
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
