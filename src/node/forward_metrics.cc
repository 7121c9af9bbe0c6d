#include "damaskroute/node/forward_metrics.h"

namespace damaskroute {

void ForwardMetrics::WriteTo(Exposition& page) const {
  page.Family("damaskroute_forward_answers_total", "counter",
              "Final answers to callers by outcome.");
  for (const auto& [outcome, count] : answers) {
    page.Sample(Exposition::Label("outcome", outcome), static_cast<double>(count));
  }
  page.Family("damaskroute_forward_failed_calls_total", "counter",
              "Calls to backend servers without a usable answer, by reason.");
  for (const auto& [reason, count] : failed_calls) {
    page.Sample(Exposition::Label("reason", reason), static_cast<double>(count));
  }
  page.Family("damaskroute_forward_calls_total", "counter", "Calls sent to backend servers.");
  page.Sample("", counts.calls);
  page.Family("damaskroute_forward_copies_total", "counter",
              "Calls sent because another was late.");
  page.Sample("", counts.hedges);
  page.Family("damaskroute_forward_repeats_total", "counter", "Calls sent because another failed.");
  page.Sample("", counts.retries);
  page.Family("damaskroute_forward_over_budget_total", "counter",
              "Hedged calls and retries that the budget for extra calls did not allow.");
  page.Sample("", counts.over_budget);
  page.Family("damaskroute_forward_request_seconds", "histogram", "Time from request to answer.");
  page.Histogram("", request_latency);
  page.Family("damaskroute_forward_call_seconds", "histogram", "Time of answered calls.");
  page.Histogram("", call_latency);
}

}  // namespace damaskroute
