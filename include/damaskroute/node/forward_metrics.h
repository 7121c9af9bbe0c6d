#ifndef DAMASKROUTE_NODE_FORWARD_METRICS_H_
#define DAMASKROUTE_NODE_FORWARD_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "damaskroute/forward/forward_counts.h"
#include "damaskroute/metrics/exposition.h"
#include "damaskroute/metrics/latency_histogram.h"

namespace damaskroute {

/// Counters and latencies of the forwarding path of one node.
struct ForwardMetrics {
  /// Answers by outcome: `passed_on`, `merged`, `partial`, `refused`, `failed`, `timed_out`,
  /// `abandoned`, `not_found`, `turned_away`, `unauthorized` (401), `at_peer` (answered by another
  /// node), `not_servable` (refused to another node).
  std::map<std::string, std::uint64_t> answers;
  std::map<std::string, std::uint64_t> failed_calls;  ///< By failure reason.
  ForwardCounts counts;
  LatencyHistogram request_latency;
  LatencyHistogram call_latency;

  /// Appends all metric families to `page`.
  void WriteTo(Exposition& page) const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_METRICS_H_
