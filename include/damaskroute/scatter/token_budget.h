#ifndef DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_
#define DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace damaskroute {

/// Token bucket that limits extra calls (hedges or retries) to a fraction of the first calls: each
/// first call adds a fraction of a token and each extra call takes one. Depends on counts only, not
/// on time. Thread-safe.
class TokenBudget {
 public:
  /// Each first call adds `ratio` tokens (0 to 1). The bucket starts full, with `burst` tokens.
  TokenBudget(double ratio, std::uint32_t burst);

  /// Adds the tokens of `calls` first calls. Tokens above the burst are discarded.
  void OnFirstCalls(std::uint32_t calls);

  /// Takes one token. Returns false if there is none.
  bool TryTake();

  /// Puts back a token taken for a call that was not sent.
  void Refund();

  /// Number of available tokens.
  double available() const;

 private:
  void Add(std::int64_t units);

  std::int64_t units_per_call_;
  std::int64_t burst_units_;
  std::atomic<std::int64_t> units_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_TOKEN_BUDGET_H_
