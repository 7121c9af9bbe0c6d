#ifndef DAMASKROUTE_METRICS_EXPOSITION_H_
#define DAMASKROUTE_METRICS_EXPOSITION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "damaskroute/metrics/latency_histogram.h"

namespace damaskroute {

/// Builds a metrics page in the Prometheus text exposition format 0.0.4.
class Exposition {
 public:
  /// Starts a metric family; `type` is `counter`, `gauge` or `histogram`.
  void Family(std::string_view name, std::string_view type, std::string_view help);

  /// Adds a sample to the current family. `labels` is empty or a comma-separated list of `Label`s.
  void Sample(std::string_view labels, double value);

  /// Adds the buckets, sum and count of a histogram to the current family, in seconds.
  void Histogram(std::string_view labels, const LatencyHistogram& histogram);

  /// Formats `name="value"` with the value escaped.
  static std::string Label(std::string_view name, std::string_view value);

  const std::string& text() const { return text_; }

 private:
  std::string name_;
  std::string text_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_METRICS_EXPOSITION_H_
