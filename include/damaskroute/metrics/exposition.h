#ifndef DAMASKROUTE_METRICS_EXPOSITION_H_
#define DAMASKROUTE_METRICS_EXPOSITION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "damaskroute/metrics/latency_histogram.h"

namespace damaskroute {

/// Builds a page in the text exposition format 0.0.4 that metric collectors read.
class Exposition {
 public:
  /// Starts a family; `type` is `counter`, `gauge` or `histogram`.
  void Family(std::string_view name, std::string_view type, std::string_view help);

  /// Sample of the present family. `labels` is empty or made by `Label`, joined with commas.
  void Sample(std::string_view labels, double value);

  /// Buckets, sum and count of a histogram of the present family, in seconds.
  void Histogram(std::string_view labels, const LatencyHistogram& histogram);

  /// `name="value"` with the value escaped.
  static std::string Label(std::string_view name, std::string_view value);

  const std::string& text() const { return text_; }

 private:
  std::string name_;
  std::string text_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_METRICS_EXPOSITION_H_
