#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_

#include <vector>

namespace damaskroute::bench {

/// Least-squares line through measured points, with the standard error of its predictions.
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
  double sum_of_squares_x_ = 0;  // Sum of squared deviations of x from its mean.
  double intercept_ = 0;
  double slope_ = 0;
  double residual_deviation_ = 0;  // Standard deviation of the points from the line.
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LINEAR_FIT_H_
