#include "benchmark/support/linear_fit.h"

#include <cmath>
#include <cstddef>
#include <numeric>

namespace damaskroute::bench {

LinearFit::LinearFit(const std::vector<double>& x, const std::vector<double>& y)
    : count_(static_cast<double>(x.size())) {
  mean_x_ = std::accumulate(x.begin(), x.end(), 0.0) / count_;
  double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count_;
  double sum_of_products = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sum_of_squares_x_ += (x[i] - mean_x_) * (x[i] - mean_x_);
    sum_of_products += (x[i] - mean_x_) * (y[i] - mean_y);
  }
  slope_ = sum_of_products / sum_of_squares_x_;
  intercept_ = mean_y - slope_ * mean_x_;
  double residual_squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) residual_squares += std::pow(y[i] - At(x[i]), 2);
  residual_deviation_ = std::sqrt(residual_squares / (count_ - 2));
}

double LinearFit::ErrorAt(double x) const {
  return residual_deviation_ *
         std::sqrt(1 / count_ + (x - mean_x_) * (x - mean_x_) / sum_of_squares_x_);
}

}  // namespace damaskroute::bench
