#ifndef DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_
#define DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace damaskroute {

/// Token bucket that is filled by a fraction of each first call and emptied by one token for each
/// extra call. It depends on counts only, not on time. Safe for use by several threads.
class TokenBudget {
 public:
  /// `ratio` tokens (0 to 1) are paid in per first call; the bucket starts full with `burst`.
  TokenBudget(double ratio, std::uint32_t burst);

  /// Pays in for `calls` first calls. Tokens above the burst are lost.
  void OnFirstCalls(std::uint32_t calls);

  /// Takes one token. False if there is none.
  bool TryTake();

  /// Returns a token taken for a call that was not sent.
  void GiveBack();

  /// Tokens left.
  double available() const;

 private:
  void Add(std::int64_t units);

  std::int64_t units_per_call_;
  std::int64_t burst_units_;
  std::atomic<std::int64_t> units_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_
