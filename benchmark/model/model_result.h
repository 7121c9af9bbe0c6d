#ifndef BENCHMARK_MODEL_MODEL_RESULT_H_
#define BENCHMARK_MODEL_MODEL_RESULT_H_

#include <cstdint>
#include <vector>

namespace damaskroute::model {

/// What the callers of one played day got.
struct ModelResult {
  std::uint64_t asked = 0;
  std::uint64_t in_time = 0;
  std::uint64_t in_time_again = 0;  ///< Refused at once, and in time from the caller's return.
  std::uint64_t late = 0;           ///< All others that were answered.
  std::uint64_t refused = 0;        ///< For good, after the caller's one repeat.
  std::uint64_t failed = 0;
  std::uint64_t partial = 0;  ///< Answers that lack parts.
  std::uint64_t calls = 0;
  std::uint64_t copies = 0;
  double owed = 0;    ///< Worth of all queries.
  double earned = 0;  ///< Each times the square of the share of its parts.

  std::vector<double> owed_by_second;
  std::vector<double> earned_by_second;  ///< By the second in which the query was first sent.

  /// Adds the figures of another day.
  void Add(const ModelResult& other);

  double credit() const { return owed > 0 ? earned / owed : 0; }
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_RESULT_H_
