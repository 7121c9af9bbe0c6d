#ifndef DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_
#define DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/extra_budget_options.h"

namespace damaskroute {

/// Limits the extra calls (hedges and retries) to one service: in any window at most a ratio of the
/// requests at this node plus the node's share of a constant. As the ratio applies to local
/// requests, the sum over all nodes stays within the limit of the deployment without coordination
/// between them.
class ExtraBudget {
 public:
  /// Counts a request for the service, whether or not a call is sent for it.
  void OnRequest(const ExtraBudgetOptions& options, TimePoint now);

  /// Takes one extra call from the budget; false if it is used up. Retries may use all of the
  /// budget, hedges only `kHedgeFraction` of it, so that hedging cannot block retries.
  bool TryTake(const ExtraBudgetOptions& options, ExtraKind kind, TimePoint now);

  /// Extra calls within the window.
  std::uint32_t extras() const { return extras_; }

  /// Requests within the window.
  std::uint32_t requests() const { return requests_; }

 private:
  static constexpr std::size_t kSlices = 40;
  struct Slice {
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };

  void Advance(const ExtraBudgetOptions& options, TimePoint now);

  std::array<Slice, kSlices> slices_{};
  std::int64_t position_ = 0;  // Index of the current slice since the clock's epoch.
  std::uint32_t requests_ = 0;
  std::uint32_t extras_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_
