#ifndef DAMASKROUTE_HTTP_BYTE_BUDGET_H_
#define DAMASKROUTE_HTTP_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace damaskroute {

/// Limits the total memory held by several clients of one event loop. Used on that loop only.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}

  std::size_t held() const { return held_; }

 private:
  friend class BudgetedBytes;

  const std::size_t limit_;
  std::size_t held_ = 0;
};

/// Bytes reserved from a `ByteBudget` and released on destruction. Shares ownership of the budget,
/// because responses outlive the clients that read them.
class BudgetedBytes {
 public:
  BudgetedBytes() = default;
  /// A null budget has no limit.
  explicit BudgetedBytes(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
  BudgetedBytes(BudgetedBytes&& other) noexcept
      : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
  BudgetedBytes& operator=(BudgetedBytes&& other) noexcept {
    if (this == &other) return *this;
    Release();
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~BudgetedBytes() { Release(); }

  /// Grows the reservation to `bytes`. Returns false, without a change, if the budget is exceeded.
  bool GrowTo(std::size_t bytes) {
    if (!budget_ || bytes <= bytes_) return true;
    if (budget_->held_ + (bytes - bytes_) > budget_->limit_) return false;
    budget_->held_ += bytes - bytes_;
    bytes_ = bytes;
    return true;
  }

 private:
  void Release() {
    if (budget_) budget_->held_ -= std::exchange(bytes_, 0);
  }

  std::shared_ptr<ByteBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BYTE_BUDGET_H_
