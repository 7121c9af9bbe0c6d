#include "benchmark/support/linear_fit.h"

#include <cmath>
#include <cstddef>
#include <numeric>

namespace damaskroute::bench {

LinearFit::LinearFit(const std::vector<double>& x, const std::vector<double>& y)
    : count_(static_cast<double>(x.size())) {
  mean_x_ = std::accumulate(x.begin(), x.end(), 0.0) / count_;
  double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count_;
  double product = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    spread_x_ += (x[i] - mean_x_) * (x[i] - mean_x_);
    product += (x[i] - mean_x_) * (y[i] - mean_y);
  }
  slope_ = product / spread_x_;
  intercept_ = mean_y - slope_ * mean_x_;
  double squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) squares += std::pow(y[i] - At(x[i]), 2);
  deviation_ = std::sqrt(squares / (count_ - 2));
}

double LinearFit::ErrorAt(double x) const {
  return deviation_ * std::sqrt(1 / count_ + (x - mean_x_) * (x - mean_x_) / spread_x_);
}

}  // namespace damaskroute::bench
