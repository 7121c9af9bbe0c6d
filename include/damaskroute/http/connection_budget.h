#ifndef DAMASKROUTE_HTTP_CONNECTION_BUDGET_H_
#define DAMASKROUTE_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace damaskroute {

/// Limits the connections that several `BackendClient`s of one event loop open together. Used on
/// that loop only.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t limit) : limit_(limit) {}

  /// Sets a function that closes some idle connection of these clients, if there is one. It is
  /// called when the budget is used up.
  void SetCloseIdle(std::function<void()> close_idle) { close_idle_ = std::move(close_idle); }

  /// A connection counted in the budget until its destruction.
  class Place {
   public:
    explicit Place(std::shared_ptr<ConnectionBudget> budget) : budget_(std::move(budget)) {
      ++budget_->open_;
    }
    ~Place() { --budget_->open_; }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

   private:
    const std::shared_ptr<ConnectionBudget> budget_;
  };

  /// Whether a further connection may be opened.
  bool HasPlace() {
    if (open_ >= limit_ && close_idle_) close_idle_();
    return open_ < limit_;
  }

 private:
  const std::size_t limit_;
  std::size_t open_ = 0;
  std::function<void()> close_idle_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CONNECTION_BUDGET_H_
