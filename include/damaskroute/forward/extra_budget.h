#ifndef DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_
#define DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/extra_budget_options.h"

namespace damaskroute {

/// Bounds the calls to one service beyond the first of each request: in any window at most a ratio
/// of this node's own requests plus the node's share of a constant. As the ratio applies to own
/// requests, the sum over all nodes keeps the limit of the deployment without any message between
/// them.
class ExtraBudget {
 public:
  /// A request for the service arrived, whether a call is sent for it or not.
  void OnRequest(const ExtraBudgetOptions& options, TimePoint now);

  /// Takes room for one extra call; false if there is none. A repeat after a failure may use all of
  /// the budget, a copy of a late call only a part of it, so that repeats are left some.
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
  std::int64_t position_ = 0;  // Number of the slice in progress since the clock's start.
  std::uint32_t requests_ = 0;
  std::uint32_t extras_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_EXTRA_BUDGET_H_
