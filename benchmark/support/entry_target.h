#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_ENTRY_TARGET_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_ENTRY_TARGET_H_

#include <memory>
#include <vector>

#include "benchmark/support/load_options.h"
#include "benchmark/support/query_target.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/node/event_loop.h"

namespace damaskroute::bench {

/// Sends queries to the callers' ports of the entry nodes in turn, as the platform's load balancer
/// does.
class EntryTarget : public QueryTarget {
 public:
  EntryTarget(EventLoop& loop, const LoadOptions& options);

  void Send(bool urgent, TimePoint deadline, Done done) override;

 private:
  const LoadOptions options_;
  std::vector<std::unique_ptr<BackendClient>> clients_;
  std::size_t next_ = 0;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_ENTRY_TARGET_H_
