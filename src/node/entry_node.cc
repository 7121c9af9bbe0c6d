#include "damaskroute/node/entry_node.h"

#include <future>
#include <map>
#include <memory>
#include <thread>
#include <utility>

#include "damaskroute/api/action_request.h"
#include "damaskroute/api/front_target.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/store/http_threads.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kDrainPollPeriod{20};
constexpr std::chrono::milliseconds kLoopPollPeriod{50};
// Above the longest deadline of a caller.
constexpr std::chrono::seconds kMaxDrainTime{65};
// Time for the store to accept a change of the roster entry: two calls with their deadlines and a
// retry.
constexpr std::chrono::seconds kRosterUpdateTimeout{5};
// Other nodes may send work until they have received the new roster or the departure of this node.
// Gossip takes about a second at 7,600 nodes.
constexpr std::chrono::milliseconds kIdleTime{1000};
// Releases are retried every 250 ms to 8 s until the new holders acknowledge them.
constexpr std::chrono::seconds kReleaseTimeout{10};
constexpr std::chrono::milliseconds kStoreCallDeadline{2000};

TimePoint Now() { return SteadyClock().Now(); }

// Calls the handler for the alternative that a message holds.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

struct EntryNode::Worker {
  Worker(EntryNode& node, std::size_t index);

  EventLoop loop;
  QueryCoordinator coordinator;
  HolderLoop holder;
  QueryService queries;
};

EntryNode::Worker::Worker(EntryNode& node, std::size_t index)
    : loop(Hash64(node.settings_.node, node.incarnation_ + index)),
      coordinator(
          loop, node.selector_,
          [&node](const NodeName& to, Message message) { node.SendToNode(to, std::move(message)); },
          [&node](const QuerySpec& spec, const BackendName& backend, BootId boot_id) {
            node.OnCrash(spec, backend, boot_id);
          }),
      holder(loop, node.MakeChannelHooks(), node.incarnation_, node.settings_.longest_call),
      queries(loop, coordinator,
              {node.settings_.node, node.settings_.zone, index, &node.ids_, &node.view_,
               &node.crash_guard_, [&node](const Endpoint& to, Message message) {
                 node.SendTo(to, std::move(message));
               }}) {}

EntryNode::EntryNode(NodeSettings settings, Incarnation incarnation)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      ids_(incarnation),
      selector_(settings_.zone),
      crash_guard_(CrashGuardSettings{}),
      control_loop_(incarnation) {
  MakeWorkers();
  MakeActions();
  MakeReplication();
  if (settings_.store.port != 0) {
    MakeStoreAgent();
    MakeOperatorApi();
  }
}

EntryNode::~EntryNode() {
  operator_api_.reset();
  control_loop_.Stop();
  for (auto& worker : workers_) worker->loop.Stop();
  // Closed before the store agent stops, which may wait some seconds for a call: peers and callers
  // must not keep open connections to a node that no longer serves them.
  callers_.reset();
  transport_.reset();
  actions_.reset();
  workers_.clear();
  if (store_agent_) store_agent_->Stop();
}

void EntryNode::MakeWorkers() {
  for (int i = 0; i < settings_.loops; ++i) {
    workers_.push_back(std::make_unique<Worker>(*this, static_cast<std::size_t>(i)));
  }
  ControlHooks hooks;
  hooks.set_limit = [this](const HolderLoop::Limit& limit) {
    Worker& worker = WorkerOf(limit.backend.name);
    worker.loop.Post([&worker, limit] { worker.holder.SetLimit(limit); });
  };
  hooks.view_changed = [this](const ServiceName& service) {
    for (auto& worker : workers_) {
      worker->loop.Post(
          [&coordinator = worker->coordinator, service] { coordinator.OnViewChanged(service); });
    }
  };
  hooks.send_to_node = [this](const NodeName& node, Message message) {
    SendToNode(node, std::move(message));
  };
  hooks.config_installed = [this](Revision revision) {
    if (on_config_installed_) on_config_installed_(revision);
  };
  control_ = std::make_unique<ControlPlane>(
      control_loop_,
      ControlIdentity{settings_.node, settings_.zone, incarnation_, settings_.backends_per_node,
                      settings_.longest_call},
      view_, std::move(hooks));
}

void EntryNode::MakeActions() {
  ActionService::Context context;
  context.node = settings_.node;
  context.incarnation = incarnation_;
  context.ids = &ids_;
  context.view = &view_;
  context.selector = &selector_;
  context.crash_guard = &crash_guard_;
  context.send_to_node = [this](const NodeName& to, Message message) {
    return SendToNode(to, std::move(message));
  };
  context.send_to_endpoint = [this](const Endpoint& to, Message message) {
    SendTo(to, std::move(message));
  };
  actions_ = std::make_unique<ActionService>(workers_.front()->loop, std::move(context));
}

void EntryNode::OnCrash(const QuerySpec& spec, const BackendName& backend, BootId boot_id) {
  LogLine(LogLevel::kWarning, "backend server lost its connection during a query")
      .Field("request_id", spec.request_id)
      .Field("backend", backend);
  bool after_success = !spec.canary && crash_guard_.HasSucceeded(spec.service, spec.fingerprint);
  crash_guard_.OnCrash(spec.service, spec.fingerprint, backend, boot_id, Now(), after_success);
  CrashReport report;
  report.fingerprint = spec.fingerprint;
  report.service = spec.service;
  report.backend = backend;
  report.boot_id = boot_id;
  report.after_success = after_success;
  NotifyCoordinators(spec.service, report);
}

void EntryNode::NotifyCoordinators(const ServiceName& service, const Message& message) {
  auto view = view_.Load();
  for (const NodeName& node : view->placement.CoordinatorsOf(service)) {
    if (node != settings_.node) SendToNode(node, message);
  }
}

void EntryNode::MakeReplication() {
  ReplicationHooks hooks;
  hooks.send = [this](const Endpoint& to, Message message) { SendTo(to, std::move(message)); };
  hooks.install_config = [this](ConfigDocument config) {
    control_->InstallConfig(std::move(config));
  };
  hooks.install_roster = [this](Roster roster) { control_->InstallRoster(std::move(roster)); };
  hooks.member_changed = [this](const Member& member) {
    if (member.IsLive()) {
      control_->OnNodeUp(member.node);
      return;
    }
    LogLine(LogLevel::kWarning, "peer is gone").Field("node", member.node);
    control_->OnNodeDown(member.node);
    // A member that left finishes its remaining work; its connections end with its process.
    if (member.state == MemberState::kDead) transport_->Disconnect(member.endpoint);
  };
  hooks.is_partitioned = [this](const Endpoint& peer) { return IsPartitionedFrom(peer); };
  hooks.superseded = [this] {
    LogLine(LogLevel::kError, "another process runs under the name of this node")
        .Field("node", settings_.node);
  };
  Member self;
  self.node = settings_.node;
  self.zone = settings_.zone;
  self.endpoint = settings_.peers;
  self.incarnation = incarnation_;
  replication_ =
      std::make_unique<Replication>(control_loop_, self, settings_.peer_keys, std::move(hooks));
}

// Runs the function on the control loop, whose thread must run, and waits for its result.
template <typename Function>
auto EntryNode::OnControlLoop(Function function) {
  // Shared, because the loop may still use the promise when the waiting thread has continued.
  auto result = std::make_shared<std::promise<decltype(function())>>();
  auto future = result->get_future();
  control_loop_.Post([result, function] { result->set_value(function()); });
  while (future.wait_for(kLoopPollPeriod) != std::future_status::ready) {
    // The loop stops before the store agent's threads, which may still call this.
    if (control_loop_.context().stopped()) return decltype(function()){};
  }
  return future.get();
}

void EntryNode::MakeStoreAgent() {
  InitializeHttpThreads();
  StoreAgentHooks hooks;
  hooks.is_reader = [this] { return replication_->is_reader(); };
  hooks.on_config = [this](Revision revision, std::string document) {
    control_loop_.Post([this, revision, document = std::move(document)]() mutable {
      replication_->OnStoreConfig(revision, std::move(document));
    });
  };
  hooks.on_roster = [this](Revision revision, std::string document) {
    control_loop_.Post([this, revision, document = std::move(document)]() mutable {
      replication_->OnStoreRoster(revision, std::move(document));
    });
  };
  hooks.on_store_contact = [this] {
    control_loop_.Post([this] { replication_->OnStoreContact(); });
  };
  hooks.on_local_entry_added = [this](bool had_predecessor) {
    control_loop_.Post([this, had_predecessor] { control_->OnLocalEntryAdded(had_predecessor); });
  };
  hooks.live_members = [this] {
    return OnControlLoop([this] {
      std::vector<RosterEntry> node_entries;
      for (const Member& member : replication_->LiveMembers()) {
        if (member.node == settings_.node) continue;
        node_entries.push_back({member.node, member.zone, member.endpoint, member.incarnation});
      }
      return node_entries;
    });
  };
  hooks.roster = [this] {
    auto view = view_.Load();
    return std::shared_ptr<const Roster>(view, &view->roster);
  };
  RosterUpdaterOptions options;
  options.self = {settings_.node, settings_.zone, settings_.peers, incarnation_};
  options.seed = Hash64(settings_.node, incarnation_);
  options.longest_call = settings_.longest_call;
  store_agent_ = std::make_unique<StoreAgent<HttpStore, HttpVmList>>(
      HttpStore(settings_.store, kStoreCallDeadline),
      HttpVmList(settings_.store, kStoreCallDeadline), options, std::move(hooks));
}

void EntryNode::MakeOperatorApi() {
  OperatorApiHooks hooks;
  hooks.status = [this] { return RenderStatus(); };
  hooks.on_committed = [this](const ConfigDocument& document) {
    auto bytes = EncodeConfig(document);
    if (!bytes.ok()) return;
    control_loop_.Post([this, revision = document.revision, bytes = *std::move(bytes)]() mutable {
      replication_->OnStoreConfig(revision, std::move(bytes));
    });
  };
  operator_api_ = std::make_unique<OperatorApi>(settings_, view_, std::move(hooks));
}

int EntryNode::HeldSlots() {
  return OnControlLoop([this] { return control_->HeldSlots(); });
}

std::string EntryNode::RenderStatus() {
  return OnControlLoop([this] {
    ReplicaStatus config = replication_->ConfigStatus();
    Revision lowest = replication_->LowestConfigRevision();
    auto view = view_.Load();
    return fmt::format(
        R"({{"node":"{}","zone":"{}","incarnation":{},"revision":{},"lowest_revision":{},)"
        R"("roster_revision":{},"seats":{},"held_slots":{},"live_nodes":{},"behind":{},"store_age_ms":{},)"
        R"("reader":{},"draining":{}}})"
        "\n",
        settings_.node, settings_.zone, incarnation_, view->config.revision, lowest,
        view->roster.revision, view->roster.node_entries.size(), control_->HeldSlots(),
        replication_->members().LiveCount(), config.behind, config.age.count(),
        replication_->is_reader(), draining_.load());
  });
}

BackendChannelHooks EntryNode::MakeChannelHooks() {
  BackendChannelHooks hooks;
  hooks.reply = [this](const Endpoint& to, Message message) { SendTo(to, std::move(message)); };
  hooks.send_to_node = [this](const NodeName& to, Message message) {
    SendToNode(to, std::move(message));
  };
  hooks.report = [this](BackendReport report) {
    control_loop_.Post([this, report = std::move(report)] { control_->OnLocalReport(report); });
  };
  hooks.refute_crash = [this](const CrashRefutation& refutation) {
    crash_guard_.OnRefuted(refutation.backend, refutation.boot_id, Now());
    NotifyCoordinators(refutation.service, refutation);
  };
  hooks.within_limit = [this](const BackendName& backend, std::uint64_t sequence) {
    control_loop_.Post([this, backend, sequence] { control_->OnWithinLimit(backend, sequence); });
  };
  return hooks;
}

absl::Status EntryNode::Start() {
  PeerHandlers handlers;
  handlers.on_message = [this](const PeerContext& from, Message message) {
    if (!IsPartitionedFrom(from.endpoint)) Deliver(from.node, from.endpoint, std::move(message));
  };
  handlers.on_peer_lost = [this](const Endpoint& endpoint) { OnPeerLost(endpoint); };
  transport_ = std::make_unique<PeerTransport>(
      control_loop_.context(), PeerIdentity{settings_.node, incarnation_, settings_.peers},
      settings_.peer_keys, std::move(handlers));
  absl::Status status = transport_->Listen();
  if (!status.ok()) return status;
  status = replication_->Open();
  if (!status.ok()) return status;

  HttpServerOptions options;
  options.listen = settings_.callers;
  options.max_connections = settings_.max_caller_connections;
  options.refusal_verdict = [](std::string_view target) {
    auto parsed = ParseFrontTarget(target);
    return parsed && parsed->operation == "actions" ? Verdict::kMayHaveRun : Verdict::kNotRun;
  };
  std::vector<asio::io_context*> loops;
  for (auto& worker : workers_) loops.push_back(&worker->loop.context());
  callers_ = std::make_unique<HttpServer>(
      loops, options, [this](const HttpRequest& request, HttpResponder respond) {
        HandleCaller(request, std::move(respond));
      });
  status = callers_->Start();
  if (!status.ok()) return status;
  for (auto& worker : workers_) worker->loop.Start();
  control_loop_.Post([this] { replication_->Start(settings_.seeds); });
  control_loop_.Start();
  if (store_agent_) store_agent_->Start();
  if (operator_api_) {
    status = operator_api_->Start();
    if (!status.ok()) return status;
  }
  LogLine(LogLevel::kInfo, "entry node started")
      .Field("node", settings_.node)
      .Field("zone", settings_.zone)
      .Field("callers", FormatEndpoint(settings_.callers))
      .Field("peers", FormatEndpoint(settings_.peers));
  return absl::OkStatus();
}

// Queries, actions and calls of other nodes in progress.
std::size_t EntryNode::CountOpenWork() {
  std::size_t total = callers_->active_requests();
  for (auto& worker : workers_) {
    auto count = std::make_shared<std::promise<std::size_t>>();
    auto future = count->get_future();
    worker->loop.Post([this, &worker, count] {
      std::size_t open = worker->coordinator.open_queries() + worker->holder.load();
      if (worker == workers_.front()) open += actions_->open_actions();
      count->set_value(open);
    });
    total += future.get();
  }
  return total;
}

// Waits until there has been no work for `kIdleTime`; false if `limit` expires first.
bool EntryNode::WaitUntilIdle(Duration limit) {
  TimePoint end = Now() + limit;
  TimePoint idle_since = Now();
  while (Now() - idle_since < kIdleTime) {
    if (Now() >= end) return false;
    if (CountOpenWork() > 0) idle_since = Now();
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  return true;
}

// Marks this node's roster entry as leaving and releases all shares; false if that did not
// complete.
bool EntryNode::HandOverShares() {
  if (!store_agent_ || !store_agent_->roster_maintainer().MarkLeaving(kRosterUpdateTimeout)) {
    return false;
  }
  TimePoint end = Now() + settings_.longest_call + kReleaseTimeout;
  // The control loop receives the new roster only after the store has it.
  auto released = [this] {
    const RosterEntry* entry = control_->FindLocalEntry();
    return (entry == nullptr || entry->leaving) && control_->HasReleasedShares();
  };
  while (!OnControlLoop(released)) {
    if (Now() >= end) return false;
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  return true;
}

void EntryNode::Drain() {
  if (draining_.exchange(true)) return;
  LogLine(LogLevel::kInfo, "draining");
  // Requests that the balancer sent before it saw the failing readiness check are still accepted.
  callers_->CloseAfterResponses(true);
  std::this_thread::sleep_for(settings_.drain_time);
  callers_->BeginDrain();
  TimePoint limit = Now() + kMaxDrainTime;
  while (callers_->active_requests() > 0 && Now() < limit) {
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  bool released = HandOverShares();
  if (!released) {
    // The roster entry stays until a successor replaces it or a reader removes it. The other nodes
    // use other replicas as soon as they see that this one accepts no more calls.
    LogLine(LogLevel::kWarning, "the shares could not be passed on");
    control_loop_.Post([this] { control_->StopHolding(); });
  }
  bool finished = WaitUntilIdle(kMaxDrainTime);
  if (released && !store_agent_->roster_maintainer().Leave(kRosterUpdateTimeout)) {
    LogLine(LogLevel::kWarning, "cannot remove the roster entry");
  }
  control_loop_.Post([this] { replication_->Leave(); });
  if (store_agent_) store_agent_->Stop();
  // Other nodes may forward queries to this one until they have received its departure.
  finished = WaitUntilIdle(kIdleTime * 5) && finished;
  LogLine(LogLevel::kInfo, "drained").Field("released", released).Field("finished", finished);
}

void EntryNode::Pause() {
  resumed_ = std::promise<void>();
  std::shared_future<void> resumed = resumed_.get_future().share();
  std::vector<EventLoop*> loops{&control_loop_};
  for (auto& worker : workers_) loops.push_back(&worker->loop);
  for (EventLoop* loop : loops) {
    auto stopped = std::make_shared<std::promise<void>>();
    loop->Post([stopped, resumed] {
      stopped->set_value();
      resumed.wait();
    });
    stopped->get_future().wait();
  }
}

void EntryNode::Resume() { resumed_.set_value(); }

void EntryNode::InstallConfig(ConfigDocument config) {
  control_loop_.Post(
      [this, config = std::move(config)]() mutable { control_->InstallConfig(std::move(config)); });
}

void EntryNode::InstallRoster(Roster roster, bool had_predecessor) {
  control_loop_.Post([this, had_predecessor, roster = std::move(roster)]() mutable {
    control_->OnLocalEntryAdded(had_predecessor);
    control_->InstallRoster(std::move(roster));
  });
}

HttpResponse EntryNode::MakeReadinessResponse() const {
  if (draining_) return MakeProblemResponse(503, "draining", "the node is shutting down");
  if (view_.Load()->config.revision == 0) {
    return MakeProblemResponse(503, "not_ready", "no configuration is known yet");
  }
  return {200, "application/json", "{\"ready\":true}\n"};
}

void EntryNode::HandleCaller(const HttpRequest& request, HttpResponder respond) {
  if (request.method == "GET" && request.target == "/healthz") {
    respond({200, "application/json", "{\"healthy\":true}\n"});
    return;
  }
  if (request.method == "GET" && request.target == "/readyz") {
    respond(MakeReadinessResponse());
    return;
  }
  auto target = ParseFrontTarget(request.target);
  if (!target) {
    respond(MakeProblemResponse(404, "unknown_path", "expected /v1/fronts/FRONT/query"));
    return;
  }
  if (request.method != "POST") {
    respond(MakeProblemResponse(405, "method_not_allowed", "expected POST"));
    return;
  }
  if (target->operation == "actions" || target->operation == "action-ids") {
    HandleAction(*target, request, std::move(respond));
    return;
  }
  if (target->operation != "query") {
    respond(MakeProblemResponse(404, "unknown_path",
                                "expected the operation query, actions or action-ids"));
    return;
  }
  auto query = ParseQueryRequest(request.body);
  if (!query.ok()) {
    respond(MakeProblemResponse(400, "invalid_request", std::string(query.status().message())));
    return;
  }
  workers_[request.loop]->queries.Handle(target->front, *std::move(query), request.received,
                                         std::move(respond));
}

void EntryNode::HandleAction(const FrontTarget& target, const HttpRequest& request,
                             HttpResponder respond) {
  EventLoop& loop = workers_.front()->loop;
  if (target.operation == "action-ids") {
    loop.Post([this, front = target.front, respond = std::move(respond)] {
      actions_->HandleIssue(front, respond);
    });
    return;
  }
  auto action = ParseActionRequest(request.body);
  if (!action.ok()) {
    respond(MakeProblemResponse(400, "invalid_request", std::string(action.status().message())));
    return;
  }
  loop.Post([this, front = target.front, action = *std::move(action), received = request.received,
             respond = std::move(respond)]() mutable {
    actions_->Handle(front, action, received, std::move(respond));
  });
}

EntryNode::Worker& EntryNode::WorkerOf(const BackendName& backend) {
  return *workers_[Hash64(backend) % workers_.size()];
}

bool EntryNode::SendToNode(const NodeName& node, Message message) {
  if (node == settings_.node) {
    Deliver(node, settings_.peers, std::move(message));
    return true;
  }
  auto view = view_.Load();
  const RosterEntry* entry = view->roster.Find(node);
  if (entry == nullptr) return false;
  if (!IsPartitionedFrom(entry->peer)) transport_->Send(entry->peer, message);
  return true;
}

void EntryNode::SendTo(const Endpoint& endpoint, Message message) {
  if (endpoint == settings_.peers) {
    Deliver(settings_.node, endpoint, std::move(message));
  } else if (!IsPartitionedFrom(endpoint)) {
    transport_->Send(endpoint, message);
  }
}

void EntryNode::DeliverBatch(const Endpoint& from, ShardBatch batch) {
  TimePoint deadline = Now() + batch.time_left;
  auto shared = std::make_shared<const ShardBatch>(std::move(batch));
  std::map<Worker*, std::vector<const ShardCall*>> by_worker;
  for (const ShardCall& call : shared->calls) by_worker[&WorkerOf(call.backend)].push_back(&call);
  for (auto& [worker, calls] : by_worker) {
    worker->loop.Post([worker = worker, from, shared, deadline, calls = std::move(calls)] {
      for (const ShardCall* call : calls) {
        worker->holder.Submit(call->backend, HolderCall{from, shared, *call, nullptr, deadline});
      }
    });
  }
}

void EntryNode::DeliverAction(const Endpoint& from, RunAction action) {
  TimePoint deadline = Now() + action.time_left;
  Worker& worker = WorkerOf(action.backend);
  auto shared = std::make_shared<const RunAction>(std::move(action));
  worker.loop.Post([&worker, from, shared, deadline] {
    worker.holder.Submit(shared->backend, HolderCall{from, nullptr, {}, shared, deadline});
  });
}

void EntryNode::Deliver(const NodeName& from_node, const Endpoint& from, Message message) {
  auto to_worker = [this](std::uint64_t query_id) -> Worker& {
    return *workers_[QueryIds::LoopOf(query_id) % workers_.size()];
  };
  auto to_control = [this, &from_node](auto m) {
    control_loop_.Post(
        [this, from_node, m = std::move(m)] { control_->OnShareMessage(from_node, m); });
  };
  std::visit(
      Overloaded{
          [&](ShardBatch& m) { DeliverBatch(from, std::move(m)); },
          [&](ShardReply& m) {
            Worker& worker = to_worker(m.query_id);
            worker.loop.Post([&worker, m = std::move(m)] { worker.coordinator.OnReply(m); });
          },
          [&](CancelCalls& m) {
            for (auto& worker : workers_) {
              worker->loop.Post([&holder = worker->holder, from, m] { holder.Cancel(from, m); });
            }
          },
          [&](BackendReport& m) {
            control_loop_.Post([this, m = std::move(m)] { control_->OnPeerReport(m); });
          },
          [&](WarmQuery& m) {
            Worker& worker = WorkerOf(m.backend);
            worker.loop.Post([&worker, from_node, m] { worker.holder.OnWarmQuery(from_node, m); });
          },
          [&](WarmGrant& m) {
            Worker& worker = WorkerOf(m.backend);
            worker.loop.Post([&worker, m] { worker.holder.OnWarmGrant(m); });
          },
          [&](ForwardQuery& m) {
            Worker& worker = *workers_[next_worker_++ % workers_.size()];
            worker.loop.Post(
                [&worker, from, m = std::move(m)] { worker.queries.OnForwardQuery(from, m); });
          },
          [&](ForwardReply& m) {
            Worker& worker = to_worker(m.query_id);
            worker.loop.Post([&worker, m = std::move(m)] { worker.queries.OnForwardReply(m); });
          },
          [&](RunAction& m) { DeliverAction(from, std::move(m)); },
          [&](ForwardAction& m) {
            workers_.front()->loop.Post(
                [this, from, m = std::move(m)] { actions_->OnForwardAction(from, m); });
          },
          [&](ActionReply& m) {
            workers_.front()->loop.Post([this, m = std::move(m)] { actions_->OnActionReply(m); });
          },
          [&](ActionResult& m) {
            workers_.front()->loop.Post([this, m = std::move(m)] { actions_->OnActionResult(m); });
          },
          [&](CrashReport& m) {
            if (m.is_action) {
              crash_guard_.OnActionCrash(m.service, m.fingerprint, Now());
            } else {
              crash_guard_.OnCrash(m.service, m.fingerprint, m.backend, m.boot_id, Now(),
                                   m.after_success);
            }
          },
          [&](CrashRefutation& m) { crash_guard_.OnRefuted(m.backend, m.boot_id, Now()); },
          [&](ShareRelease& m) { to_control(std::move(m)); },
          [&](ShareReleaseAck& m) { to_control(std::move(m)); },
          [&](ShareClaim& m) { to_control(std::move(m)); },
          [&](ShareClaimReply& m) { to_control(std::move(m)); },
          [&](auto& m) {
            control_loop_.Post(
                [this, from, m = Message(std::move(m))] { replication_->OnMessage(from, m); });
          },
      },
      message);
}

void EntryNode::OnPeerLost(const Endpoint& endpoint) {
  replication_->OnPeerLost(endpoint);
  control_->OnPeerLost(endpoint);
  auto view = view_.Load();
  NodeName lost;
  for (const RosterEntry& entry : view->roster.node_entries) {
    if (entry.peer == endpoint) lost = entry.node;
  }
  if (!lost.empty()) {
    workers_.front()->loop.Post([this, lost] { actions_->OnPeerLost(lost); });
  }
  for (auto& worker : workers_) {
    worker->loop.Post([&worker = *worker, lost, endpoint] {
      if (!lost.empty()) worker.coordinator.OnHolderLost(lost);
      worker.queries.OnPeerLost(endpoint);
    });
  }
}

}  // namespace damaskroute
