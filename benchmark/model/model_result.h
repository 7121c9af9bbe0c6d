#ifndef BENCHMARK_MODEL_MODEL_RESULT_H_
#define BENCHMARK_MODEL_MODEL_RESULT_H_

#include <cstdint>
#include <vector>

namespace damaskroute::model {

/// Outcomes of the queries of one simulated day.
struct ModelResult {
  std::uint64_t queries = 0;
  std::uint64_t in_time = 0;
  std::uint64_t in_time_on_retry = 0;  ///< Refused early, then in time counted from the retry.
  std::uint64_t late = 0;              ///< All other answered queries.
  std::uint64_t refused = 0;           ///< Refused again after the caller's one retry.
  std::uint64_t failed = 0;
  std::uint64_t partial = 0;  ///< Answers without the parts of some shards.
  std::uint64_t calls = 0;
  std::uint64_t hedges = 0;
  std::uint64_t over_rate_limit = 0;  ///< Calls beyond what their servers' rate limits allow.
  double total_value = 0;             ///< Sum of the values of all queries.
  double earned_value = 0;            ///< Values weighted by timeliness and squared shard coverage.

  /// Indexed by the second in which the query was first sent.
  std::vector<double> total_value_by_second;
  std::vector<double> earned_value_by_second;

  /// Adds the counts and sums of another day.
  void Add(const ModelResult& other);

  double credit() const { return total_value > 0 ? earned_value / total_value : 0; }
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_RESULT_H_
