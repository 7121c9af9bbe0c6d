#ifndef DAMASKROUTE_BURN_BURN_REPORT_H_
#define DAMASKROUTE_BURN_BURN_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/burn/minute_counts.h"

namespace damaskroute {

/// Service-level objective that a row of the report covers.
enum class ObjectiveKind : std::uint8_t { kLatency, kCoverage };

/// Error budget of one objective of a front, or of all fronts of a customer together.
///
/// The budget is the number of queries that may miss the objective in the period: the fraction
/// 1 - ratio of all queries. A burn rate of 1 consumes the budget exactly by the end of the period.
struct BurnRow {
  std::string customer;
  FrontName front;  ///< Empty in a row for the whole customer.
  ObjectiveKind kind = ObjectiveKind::kLatency;
  std::uint64_t queries = 0;
  std::uint64_t missed = 0;
  double budget_left = 1;       ///< Remaining fraction of the budget; negative if overspent.
  double burn_5min = 0;         ///< Burn rate of the last 5 minutes.
  double burn_1h = 0;           ///< Burn rate of the last hour.
  std::vector<double> minutes;  ///< Burn rate of each of the last 60 minutes, oldest first.
};

/// Error budgets and burn rates of the queries that one node served.
struct BurnReport {
  std::size_t period_minutes = 0;  ///< Length of the longest series in the input.
  std::vector<BurnRow> rows;       ///< Per customer: its own rows, then those of its fronts.
};

/// Computes the report. Without queries the whole budget is left and the burn rate is 0.
BurnReport ComputeBurn(const std::vector<FrontCounters>& fronts);

/// The report as a plain-text table.
std::string BurnText(const BurnReport& report);

/// The report as JSON: `period_minutes` and `rows`.
std::string BurnJson(const BurnReport& report);

/// The report as a self-contained HTML page with SVG charts, without scripts or external resources.
/// The layout adapts to narrow screens and to the light and dark color schemes.
std::string BurnHtml(const BurnReport& report);

}  // namespace damaskroute

#endif  // DAMASKROUTE_BURN_BURN_REPORT_H_
