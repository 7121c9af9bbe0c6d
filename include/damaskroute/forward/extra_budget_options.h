#ifndef DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_
#define DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_

#include <chrono>
#include <cstdint>

namespace damaskroute {

/// Limit of an `ExtraBudget`. The deployment's settings give the window, the ratio and the constant
/// over all nodes.
struct ExtraBudgetOptions {
  std::chrono::milliseconds window{10'000};
  double ratio = 0.2;      ///< Extra calls per request.
  double node_slack = 10;  ///< Extra calls per window beyond the ratio, at this node.
};

/// Why an extra call is sent.
enum class ExtraKind : std::uint8_t {
  kHedge,  ///< A second call while the first one is late; the first result counts.
  kRetry,  ///< Another call after the previous one failed.
};

/// Fraction of the budget that hedges may use.
inline constexpr double kHedgeFraction = 0.9;

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_
