#include "damaskroute/node/query_coordinator.h"

#include <utility>

namespace damaskroute {

struct QueryCoordinator::RunningQuery {
  RunningQuery(QuerySpec spec, std::shared_ptr<ServiceRuntime> runtime, ScatterPolicies policies,
               asio::io_context& context, Done callback)
      : service(std::move(runtime)),
        machine(std::move(spec), service->view.Load(), policies),
        timer(context),
        done(std::move(callback)) {}

  std::shared_ptr<ServiceRuntime> service;  // Declared first, because `machine` refers to it.
  ScatterGather machine;
  asio::steady_timer timer;
  Done done;
};

QueryCoordinator::QueryCoordinator(EventLoop& loop, const ReplicaSelector& selector,
                                   SendToNode send, OnCrash on_crash)
    : loop_(loop), selector_(selector), send_(std::move(send)), on_crash_(std::move(on_crash)) {}

QueryCoordinator::~QueryCoordinator() = default;

void QueryCoordinator::Start(QuerySpec spec, std::shared_ptr<ServiceRuntime> service, Done done) {
  std::uint64_t id = spec.query_id;
  ScatterPolicies policies{selector_, service->hedge, service->retries, loop_.random()};
  auto running = std::make_unique<RunningQuery>(std::move(spec), std::move(service), policies,
                                                loop_.context(), std::move(done));
  RunningQuery& query = *running;
  queries_.emplace(id, std::move(running));
  Apply(query, query.machine.Start(SteadyClock().Now()));
}

void QueryCoordinator::OnReply(const ShardReply& reply) {
  auto it = queries_.find(reply.query_id);
  if (it == queries_.end()) return;
  Apply(*it->second, it->second->machine.OnReply(reply, SteadyClock().Now()));
}

void QueryCoordinator::OnHolderLost(const NodeName& holder) {
  std::vector<std::uint64_t> ids;
  ids.reserve(queries_.size());
  for (const auto& [id, running] : queries_) ids.push_back(id);
  for (std::uint64_t id : ids) {
    auto it = queries_.find(id);
    if (it == queries_.end()) continue;
    Apply(*it->second, it->second->machine.OnHolderLost(holder, SteadyClock().Now()));
  }
}

void QueryCoordinator::OnViewChanged(const ServiceName& service) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, running] : queries_) {
    if (running->service->name == service) ids.push_back(id);
  }
  for (std::uint64_t id : ids) {
    auto it = queries_.find(id);
    if (it == queries_.end()) continue;
    RunningQuery& running = *it->second;
    Apply(running,
          running.machine.OnViewChanged(running.service->view.Load(), SteadyClock().Now()));
  }
}

void QueryCoordinator::Apply(RunningQuery& running, std::vector<ScatterAction> actions) {
  const std::uint64_t id = running.machine.spec().query_id;
  for (ScatterAction& action : actions) {
    if (auto* send = std::get_if<SendCalls>(&action)) {
      SendBatch(running, std::move(*send));
    } else if (auto* cancel = std::get_if<CancelSentCalls>(&action)) {
      send_(cancel->holder, CancelCalls{id, std::move(cancel->call_ids)});
    } else if (auto* timer = std::get_if<damaskroute::SetTimer>(&action)) {
      SetTimer(running, timer->at);
    } else if (auto* crash = std::get_if<ReportCrash>(&action)) {
      on_crash_(running.machine.spec(), crash->backend, crash->boot_id);
    } else if (auto* finish = std::get_if<Finish>(&action)) {
      Complete(id, std::move(finish->result));
      return;
    }
  }
}

void QueryCoordinator::SetTimer(RunningQuery& running, TimePoint at) {
  running.timer.expires_at(at);
  running.timer.async_wait(
      [this, id = running.machine.spec().query_id](const boost::system::error_code& error) {
        if (error) return;
        auto it = queries_.find(id);
        if (it == queries_.end()) return;
        Apply(*it->second, it->second->machine.OnTimer(SteadyClock().Now()));
      });
}

void QueryCoordinator::SendBatch(RunningQuery& running, SendCalls action) {
  const QuerySpec& spec = running.machine.spec();
  ShardBatch batch;
  batch.query_id = spec.query_id;
  batch.request_id = spec.request_id;
  batch.service = spec.service;
  batch.version = action.version;
  batch.time_left = action.time_left;
  batch.priority = spec.priority;
  batch.fingerprint = spec.fingerprint;
  batch.body = spec.body;
  batch.calls = std::move(action.calls);
  send_(action.holder, std::move(batch));
}

void QueryCoordinator::Complete(std::uint64_t query_id, QueryResult result) {
  auto it = queries_.find(query_id);
  std::unique_ptr<RunningQuery> running = std::move(it->second);
  queries_.erase(it);
  running->done(std::move(result));
}

}  // namespace damaskroute
