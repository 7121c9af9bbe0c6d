#ifndef DAMASKROUTE_HTTP_BYTE_BUDGET_H_
#define DAMASKROUTE_HTTP_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace damaskroute {

/// Bounds the memory that several clients of one event loop hold together. Used on that loop only.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}

  std::size_t held() const { return held_; }

 private:
  friend class HeldBytes;

  const std::size_t limit_;
  std::size_t held_ = 0;
};

/// Bytes taken from a budget, given back at the end of its life. The budget is shared because
/// answers outlive the clients that read them.
class HeldBytes {
 public:
  HeldBytes() = default;
  /// A null budget is without a limit.
  explicit HeldBytes(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
  HeldBytes(HeldBytes&& other) noexcept
      : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
  HeldBytes& operator=(HeldBytes&& other) noexcept {
    if (this == &other) return *this;
    Release();
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~HeldBytes() { Release(); }

  /// Holds `bytes` in all. False, without a change, if the budget does not allow it.
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
