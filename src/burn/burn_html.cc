#include <algorithm>

#include "damaskroute/burn/burn_report.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr char kPageHead[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Error budgets</title>
<style>
:root { color-scheme: light dark; --text: #1c2430; --quiet: #5c6775; --page: #fff; --card: #f3f5f8;
  --good: #1a7f4b; --warn: #b25e00; --bad: #c02a2a; --line: #c9d0d9; }
@media (prefers-color-scheme: dark) { :root { --text: #e6eaf0; --quiet: #9aa5b3; --page: #12161c;
  --card: #1c222b; --good: #4cc38a; --warn: #f0a04b; --bad: #ff7b72; --line: #3a4452; } }
body { margin: 0 auto; max-width: 70rem; padding: 1rem; background: var(--page);
  color: var(--text); font: 16px/1.45 system-ui, sans-serif; }
h2 { margin: 1.5rem 0 .5rem; }
p { color: var(--quiet); }
.cards { display: grid; gap: .75rem; grid-template-columns: repeat(auto-fill, minmax(17rem, 1fr)); }
.card { background: var(--card); border-radius: .5rem; padding: .75rem; min-width: 0; }
.card h3 { margin: 0; font-size: 1rem; overflow-wrap: anywhere; }
.card dl { display: flex; flex-wrap: wrap; gap: .25rem 1rem; margin: .4rem 0; }
.card dt { color: var(--quiet); font-size: .8rem; }
.card dd { margin: 0; font-variant-numeric: tabular-nums; }
.good { --tone: var(--good); } .warn { --tone: var(--warn); } .bad { --tone: var(--bad); }
.card strong { color: var(--tone); }
svg { display: block; width: 100%; height: auto; }
</style></head><body>
<h1>Error budgets</h1>
)";

std::string Escape(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// A burn rate of 14.4 for an hour consumes 2% of a 30-day budget, the usual alert threshold
// (Google, "The Site Reliability Workbook", 2018, chapter 5).
constexpr double kAlertBurnRate = 14.4;

const char* SeverityClass(const BurnRow& row) {
  if (row.budget_left <= 0 || (row.burn_5min > kAlertBurnRate && row.burn_1h > kAlertBurnRate)) {
    return "bad";
  }
  return row.burn_1h > 1 || row.budget_left < 0.25 ? "warn" : "good";
}

std::string BudgetBar(const BurnRow& row) {
  double left = std::clamp(row.budget_left, 0.0, 1.0);
  return fmt::format(
      "<svg viewBox=\"0 0 240 10\" role=\"img\" aria-label=\"{:.1f}% of the budget left\">"
      "<rect width=\"240\" height=\"10\" rx=\"5\" fill=\"var(--line)\"/>"
      "<rect width=\"{:.1f}\" height=\"10\" rx=\"5\" fill=\"var(--tone)\"/></svg>",
      row.budget_left * 100, left * 240);
}

// Chart of the burn rate per minute; the dashed line marks a rate of 1.
std::string BurnChart(const BurnRow& row) {
  double top = 2;
  for (double rate : row.minutes) top = std::max(top, rate);
  std::string points;
  double step = row.minutes.size() > 1 ? 240.0 / static_cast<double>(row.minutes.size() - 1) : 0;
  for (std::size_t i = 0; i < row.minutes.size(); ++i) {
    points += fmt::format("{:.1f},{:.1f} ", step * static_cast<double>(i),
                          58 - 56 * row.minutes[i] / top);
  }
  return fmt::format(
      "<svg viewBox=\"0 0 240 60\" role=\"img\" aria-label=\"burn rate of the last {} minutes, at "
      "most {:.2f}\"><line x1=\"0\" x2=\"240\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"var(--line)\" "
      "stroke-dasharray=\"4 3\"/><polyline fill=\"none\" stroke=\"var(--tone)\" "
      "stroke-width=\"1.5\" points=\"{}\"/></svg>",
      row.minutes.size(), top, 58 - 56 / top, 58 - 56 / top, points);
}

std::string Card(const BurnRow& row) {
  return fmt::format(
      "<section class=\"card {}\"><h3>{}: {}</h3><dl><div><dt>budget left</dt><dd><strong>{:.1f}%"
      "</strong></dd></div><div><dt>burn 5 min</dt><dd>{:.2f}</dd></div><div><dt>burn 1 h</dt>"
      "<dd>{:.2f}</dd></div><div><dt>missed</dt><dd>{} of {}</dd></div></dl>{}{}</section>\n",
      SeverityClass(row), row.front.empty() ? "All fronts" : Escape(row.front),
      row.kind == ObjectiveKind::kLatency ? "latency" : "coverage", row.budget_left * 100,
      row.burn_5min, row.burn_1h, row.missed, row.queries, BudgetBar(row), BurnChart(row));
}

}  // namespace

std::string BurnHtml(const BurnReport& report) {
  std::string page = kPageHead;
  page += fmt::format(
      "<p>Period: {} minutes, as seen by this node. A burn rate of 1 (dashed line) uses up the "
      "budget exactly at the end of the period.</p>\n",
      report.period_minutes);
  const std::string* customer = nullptr;
  for (const BurnRow& row : report.rows) {
    if (customer == nullptr || *customer != row.customer) {
      if (customer != nullptr) page += "</div>\n";
      page += fmt::format("<h2>{}</h2>\n<div class=\"cards\">\n", Escape(row.customer));
      customer = &row.customer;
    }
    page += Card(row);
  }
  if (customer != nullptr) page += "</div>\n";
  return page + "</body></html>\n";
}

}  // namespace damaskroute
