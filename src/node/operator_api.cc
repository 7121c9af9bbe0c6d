#include "damaskroute/node/operator_api.h"

#include <utility>

#include "damaskroute/burn/burn_report.h"
#include "damaskroute/metrics/exposition.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kStoreCallDeadline{2000};

using Counter = std::atomic<std::uint64_t> FrontMetrics::*;

struct CounterFamily {
  const char* name;
  const char* help;
  Counter counter;
};

constexpr CounterFamily kCounterFamilies[] = {
    {"damaskroute_queries_complete_total", "Answers with full coverage.", &FrontMetrics::complete},
    {"damaskroute_queries_partial_total", "Answers with partial coverage.", &FrontMetrics::partial},
    {"damaskroute_queries_not_run_total", "Refusals that did not run.", &FrontMetrics::not_run},
    {"damaskroute_queries_may_have_run_total", "Failures with unknown outcome.",
     &FrontMetrics::may_have_run},
    {"damaskroute_queries_late_total", "Answers slower than the objective.", &FrontMetrics::late},
    {"damaskroute_shard_calls_first_total", "Shard calls for ranges asked the first time.",
     &FrontMetrics::first_calls},
    {"damaskroute_shard_calls_copies_total", "Second copies of late shard calls.",
     &FrontMetrics::hedges},
    {"damaskroute_shard_calls_retries_total", "Shard calls repeated after a failure.",
     &FrontMetrics::retries},
    {"damaskroute_shard_replies_stale_total", "Shard replies that matched no open call.",
     &FrontMetrics::stale_replies},
};

}  // namespace

OperatorApi::OperatorApi(const NodeSettings& settings, const Snapshot<NodeView>& view,
                         OperatorApiHooks hooks)
    : settings_(settings),
      view_(view),
      hooks_(std::move(hooks)),
      burn_(view),
      store_(settings.store, kStoreCallDeadline),
      service_(&store_, Planner(),
               IntentHooks{[this] {
                             auto view = view_.Load();
                             return std::shared_ptr<const ConfigDocument>(view, &view->config);
                           },
                           {},
                           hooks_.on_committed}) {}

OperatorApi::~OperatorApi() = default;

absl::Status OperatorApi::Start() {
  IntentOperations operations = MakeIntentOperations(&service_);
  operations.status = hooks_.status;
  operations.burn = [this] { return BurnJson(ComputeBurn(burn_.Counters())); };
  operations.burn_html = [this] { return BurnHtml(ComputeBurn(burn_.Counters())); };
  operations.metrics = [this] { return RenderMetrics(); };
  IntentServerSettings server;
  server.address = settings_.operators;
  server.token = settings_.operator_token;
  server.threads = settings_.operator_threads;
  auto started = IntentServer::Start(server, std::move(operations));
  if (!started.ok()) return started.status();
  server_ = *std::move(started);
  return absl::OkStatus();
}

std::string OperatorApi::RenderMetrics() const {
  auto view = view_.Load();
  Exposition page;
  page.Family("damaskroute_config_revision", "gauge", "Revision in force on this node.");
  page.Sample("", static_cast<double>(view->config.revision));
  for (const CounterFamily& family : kCounterFamilies) {
    page.Family(family.name, "counter", family.help);
    for (const auto& [name, metrics] : view->fronts) {
      page.Sample(Exposition::Label("front", name),
                  static_cast<double>((*metrics.*family.counter).load()));
    }
  }
  page.Family("damaskroute_query_seconds", "histogram", "Latency of answered queries.");
  for (const auto& [name, metrics] : view->fronts) {
    page.Histogram(Exposition::Label("front", name), metrics->latency);
  }
  return page.text();
}

}  // namespace damaskroute
