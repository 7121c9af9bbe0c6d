#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_

#include <vector>

namespace damaskroute::bench {

/// Straight line through measured points by least squares, with the error of its predictions.
class LinearFit {
 public:
  /// `x` and `y` have the same length, at least 3, and `x` has two different values.
  LinearFit(const std::vector<double>& x, const std::vector<double>& y);

  double intercept() const { return intercept_; }
  double slope() const { return slope_; }

  /// Value of the line at `x`.
  double At(double x) const { return intercept_ + slope_ * x; }

  /// Standard error of `At(x)`.
  double ErrorAt(double x) const;

 private:
  double count_ = 0;
  double mean_x_ = 0;
  double spread_x_ = 0;  // Sum of squared deviations.
  double intercept_ = 0;
  double slope_ = 0;
  double deviation_ = 0;  // Of the points from the line.
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_
