#ifndef DAMASKROUTE_BURN_BURN_REPORT_H_
#define DAMASKROUTE_BURN_BURN_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/burn/minute_counts.h"

namespace damaskroute {

/// Which objective a row of the report is about.
enum class ObjectiveKind : std::uint8_t { kLatency, kCoverage };

/// Error budget of one objective of a front, or of all fronts of a customer together.
///
/// The budget is the number of queries that may miss the objective in the period: 1 - ratio of all
/// queries. A burn rate of 1 uses up the budget exactly at the end of the period.
struct BurnRow {
  std::string customer;
  FrontName front;  ///< Empty in the row of the customer.
  ObjectiveKind kind = ObjectiveKind::kLatency;
  std::uint64_t queries = 0;
  std::uint64_t missed = 0;
  double budget_left = 1;       ///< Fraction of the budget; negative when overspent.
  double burn_5min = 0;         ///< Burn rate of the last 5 minutes.
  double burn_1h = 0;           ///< Burn rate of the last hour.
  std::vector<double> minutes;  ///< Burn rate of each of the last 60 minutes, oldest first.
};

/// Error budgets and burn rates as seen by one node.
struct BurnReport {
  std::size_t period_minutes = 0;  ///< Longest series of minutes in the input.
  std::vector<BurnRow> rows;       ///< By customer; the row of the customer, then its fronts.
};

/// Computes the report. Without queries the budget is whole and the burn rate 0.
BurnReport ComputeBurn(const std::vector<FrontCounters>& fronts);

/// The report as a table in plain text.
std::string BurnText(const BurnReport& report);

/// The report as JSON: `period_minutes` and `rows`.
std::string BurnJson(const BurnReport& report);

/// The report as a page without scripts or outside resources, with charts in SVG, for wide and
/// narrow screens, light and dark.
std::string BurnHtml(const BurnReport& report);

}  // namespace damaskroute

#endif  // DAMASKROUTE_BURN_BURN_REPORT_H_
