#ifndef DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_
#define DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_

#include <chrono>
#include <cstdint>

namespace damaskroute {

/// Limit that an `ExtraBudget` keeps. The deployment's settings give the window, the ratio and the
/// constant over all nodes.
struct ExtraBudgetOptions {
  std::chrono::milliseconds window{10'000};
  double ratio = 0.2;      ///< Extra calls per request.
  double node_slack = 10;  ///< Extra calls per window beyond the ratio, at this node.
};

/// Why an extra call is sent.
enum class ExtraKind : std::uint8_t {
  kCopy,    ///< The first call is late.
  kRepeat,  ///< The first call failed.
};

/// Part of the budget that copies may use.
inline constexpr double kCopyShare = 0.9;

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_EXTRA_BUDGET_OPTIONS_H_
