#include "benchmark/model/forward_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "damaskroute/forward/caller_network_delay.h"
#include "damaskroute/forward/timer_delay.h"
#include "fmt/format.h"

namespace damaskroute::model {
namespace {

using std::chrono::milliseconds;

// Same value as `connect_timeout` in ForwardServiceOptions.
constexpr milliseconds kConnectTimeout{60};

// Longest interval between probes of ReachabilityProber.
constexpr milliseconds kProbePause{400};

// The platform's load balancer checks each node every second and removes it after two failures.
constexpr milliseconds kBalancerDelay{2000};

// Range of the Retry-After of a query that the limit refuses, as fractions of the time that its
// caller still waits; the same as in the product.
constexpr double kMinRetryAfterFraction = 0.15;
constexpr double kMaxRetryAfterFraction = 0.3;

// A caller waits for a Retry-After up to this fraction of the time that it has left.
constexpr double kMaxHonouredFraction = 1.0 / 3;

// A refusal within the objective divided by this number leaves the caller enough time to retry.
constexpr int kEarlyRefusalDivisor = 4;

// Distribution of the work of a call as on the users' deployments: uniform around the mean, and a
// few calls that take much longer.
constexpr double kWorkSpread = 0.7;
constexpr double kTailFraction = 0.01;
constexpr double kTailFactor = 5;

std::string ServiceOf(int shard) { return fmt::format("s{}", shard); }

NodeName NodeNameOf(std::size_t node) { return fmt::format("node-{}", node); }

}  // namespace

struct ForwardModel::Node {
  Node(const ZoneName& local_zone, const BackendTableOptions& options, std::uint64_t seed)
      : zone(local_zone), table(options, seed) {}

  ZoneName zone;
  BackendTable table;
  std::unordered_map<ServiceName, ExtraBudget> budgets;
  ExtraBudgetOptions budget_options;
  std::map<std::size_t, RouteLatency> latencies;  // By index of the query class.
  OverloadLimit limit;
  std::map<BackendName, int> idle;  // Open connections without a call.
  std::set<BackendName> probed;
};

struct ForwardModel::Query {
  struct OpenCall {
    std::uint64_t id = 0;
    std::shared_ptr<Backend> backend;
    TimePoint sent;
  };

  std::size_t kind = 0;
  ZoneName caller_zone;
  TimePoint first_sent;
  TimePoint deadline;  // The time at which the caller stops waiting.
  int attempts = 0;
  bool refused_early = false;  // The first attempt was refused early.
  TimePoint retried_at;        // When the caller sends the latest attempt.
  Node* node = nullptr;
  std::unique_ptr<ForwardRun> run;
  AdmissionTicket ticket;
  std::map<std::uint32_t, OpenCall> calls;
  std::uint64_t timer_generation = 0;  // Timers of earlier generations are ignored.
};

ForwardModel::ForwardModel(ModelDay day, const ModelPolicy& policy, std::uint64_t seed)
    : day_(std::move(day)),
      policy_(policy),
      arrivals_(seed),
      random_(~seed),
      start_(events_.Now()) {
  MakeServers();
  MakeNodes();
  ScheduleFaults();
}

ForwardModel::~ForwardModel() = default;

void ForwardModel::MakeServers() {
  RoutingDocument document;
  document.version = 1;
  std::vector<ServiceName> shards;
  for (int shard = 0; shard < day_.shards; ++shard) {
    shards.push_back(ServiceOf(shard));
    document.services[shards.back()].max_connections = day_.connections;
    for (const ZoneName& zone : day_.server_zones) {
      auto phase = random_.NextDouble() * day_.pause_interval;
      servers_.emplace(shards.back() + zone,
                       std::make_unique<ModelServer>(events_, day_,
                                                     std::chrono::duration_cast<Duration>(phase)));
    }
  }
  for (const ModelQueryClass& kind : day_.classes) {
    Route route;
    route.name = kind.name;
    route.host = "model";
    route.prefix = "/" + kind.name + "/";
    route.idempotent = true;
    route.timeout = kind.caller_timeout;
    route.objective = kind.objective;
    route.priority = kind.priority;
    route.max_attempts = 2;
    route.shards = shards;
    route.min_coverage = kind.min_coverage;
    document.routes.push_back(std::move(route));
  }
  routes_ = std::make_shared<const RouteTable>(std::move(document));
}

void ForwardModel::MakeNodes() {
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < day_.node_zones.size(); ++i) names.push_back(NodeNameOf(i));
  for (const ZoneName& zone : day_.node_zones) {
    BackendTableOptions options;
    options.local_node = NodeNameOf(nodes_.size());
    options.local_zone = zone;
    if (policy_.zone_cost) options.zone_cost = *policy_.zone_cost;
    auto& node = *nodes_.emplace_back(std::make_unique<Node>(zone, options, random_.Next()));
    node.budget_options = day_.budget;
    if (policy_.extra_ratio) node.budget_options.ratio = *policy_.extra_ratio;
    node.table.SetPolicies(routes_, static_cast<int>(names.size()));
    node.table.SetNodeNames(names);
    for (int shard = 0; shard < day_.shards; ++shard) {
      for (const ZoneName& server_zone : day_.server_zones) {
        BackendEntry entry;
        entry.service = ServiceOf(shard);
        entry.id = entry.service + server_zone;
        entry.zone = server_zone;
        entry.slots = day_.slots;
        node.table.Put(entry, events_.Now());
      }
    }
    for (std::size_t kind = 0; kind < day_.classes.size(); ++kind) {
      node.latencies.emplace(kind, RouteLatency(day_.classes[kind].objective));
    }
  }
}

void ForwardModel::ScheduleFaults() {
  for (const ModelFault& fault : day_.faults) ScheduleFault(fault);
}

void ForwardModel::ScheduleFault(const ModelFault& fault) {
  TimePoint begin = start_ + fault.start;
  TimePoint end = begin + fault.duration;
  if (fault.kind == FaultKind::kLoadSpike) {
    events_.ScheduleAt(begin, [this, fault] { load_factor_ = fault.factor; });
    events_.ScheduleAt(end, [this] { load_factor_ = 1; });
  } else if (fault.kind == FaultKind::kPartition) {
    events_.ScheduleAt(begin, [this, fault] { isolated_since_[fault.zone] = events_.Now(); });
    events_.ScheduleAt(end, [this, fault] { isolated_since_.erase(fault.zone); });
  } else {
    for (auto& [name, server] : servers_) {
      if (random_.NextDouble() >= fault.server_fraction) continue;
      ScheduleServerFault(fault, *server);
    }
  }
}

void ForwardModel::ScheduleServerFault(const ModelFault& fault, ModelServer& server) {
  auto set = [&server, kind = fault.kind](bool begins, double factor) {
    if (kind == FaultKind::kSlow) {
      server.SetSlowness(begins ? factor : 1);
    } else if (kind == FaultKind::kRateLimit) {
      server.SetRateLimit(begins ? factor : 0);
    } else {
      server.SetUnresponsive(begins);
    }
  };
  TimePoint begin = start_ + fault.start;
  events_.ScheduleAt(begin, [set, factor = fault.factor] { set(true, factor); });
  events_.ScheduleAt(begin + fault.duration, [set, factor = fault.factor] { set(false, factor); });
}

ModelResult ForwardModel::Run() {
  for (std::size_t kind = 0; kind < day_.classes.size(); ++kind) ScheduleNext(kind);
  Duration longest_wait{};  // Time after which every caller has stopped waiting.
  for (const ModelQueryClass& kind : day_.classes) {
    longest_wait = std::max<Duration>(longest_wait, kind.caller_timeout);
  }
  events_.RunUntil(start_ + day_.length + 2 * longest_wait);
  for (const auto& [name, server] : servers_) result_.over_rate_limit += server->over_rate_limit();
  return result_;
}

void ForwardModel::ScheduleNext(std::size_t kind) {
  double rate = day_.classes[kind].queries_per_second * load_factor_;
  std::chrono::duration<double> pause(-std::log(1 - arrivals_.NextDouble()) / rate);
  TimePoint next = events_.Now() + std::chrono::duration_cast<Duration>(pause);
  if (next >= start_ + day_.length) return;
  events_.ScheduleAt(next, [this, kind] {
    StartQuery(kind);
    ScheduleNext(kind);
  });
}

void ForwardModel::StartQuery(std::size_t kind) {
  auto query = std::make_shared<Query>();
  query->kind = kind;
  query->caller_zone = day_.node_zones[arrivals_.Below(day_.node_zones.size())];
  query->first_sent = events_.Now();
  query->deadline = query->first_sent + day_.classes[kind].caller_timeout;
  SendAttempt(query, {});
}

ForwardModel::Node& ForwardModel::PickNode(const ZoneName& zone, const Node* excluded) {
  auto found = isolated_since_.find(zone);
  bool removed = found != isolated_since_.end() && events_.Now() >= found->second + kBalancerDelay;
  std::vector<Node*> candidates;
  for (const auto& node : nodes_) {
    if ((node->zone == zone) != removed && node.get() != excluded) candidates.push_back(node.get());
  }
  if (candidates.empty()) return *nodes_[random_.Below(nodes_.size())];
  return *candidates[random_.Below(candidates.size())];
}

void ForwardModel::SendAttempt(const std::shared_ptr<Query>& query, Duration delay) {
  query->retried_at = events_.Now() + delay;
  events_.ScheduleAfter(delay + day_.caller_delay, [this, query] {
    ++query->attempts;
    query->node = &PickNode(query->caller_zone, query->node);
    OnArrival(query);
  });
}

void ForwardModel::OnArrival(const std::shared_ptr<Query>& query) {
  TimePoint now = events_.Now();
  if (now >= query->deadline) return OnFailed(query);
  Node& node = *query->node;
  const Route& route = routes_->document().routes[query->kind];
  const QueryPlan& plan = routes_->Plan(route);
  Duration caller_network_delay =
      CallerNetworkDelay({.round_trip = day_.caller_delay * 2}, route.objective);
  Duration reserved_time = caller_network_delay + TimerDelay().allowance();
  ForwardSpec spec = MakeQuerySpec(route, plan, {now, query->deadline, reserved_time});
  if (policy_.hedge_after) {
    spec.hedge_after = std::chrono::duration_cast<Duration>(route.objective * *policy_.hedge_after);
  }
  query->run = std::make_unique<ForwardRun>(
      std::move(spec), ForwardContext{node.table, node.budgets, node.budget_options,
                                      node.latencies.at(query->kind)});
  query->ticket = {};
  if (policy_.limit_queries && !query->ticket.TryAdmit(node.limit, plan.urgent, *query->run, now)) {
    double fraction = kMinRetryAfterFraction +
                      (kMaxRetryAfterFraction - kMinRetryAfterFraction) * random_.NextDouble();
    return OnRefused(query,
                     std::chrono::duration_cast<milliseconds>((query->deadline - now) * fraction));
  }
  Execute(query, query->run->Start(now));
}

void ForwardModel::Execute(const std::shared_ptr<Query>& query,
                           std::vector<ForwardAction> actions) {
  for (ForwardAction& action : actions) {
    if (auto* send = std::get_if<SendCall>(&action)) {
      StartCall(query, *send);
    } else if (auto* cancel = std::get_if<CancelCall>(&action)) {
      Cancel(query, cancel->call);
    } else if (auto* wake = std::get_if<WakeAt>(&action)) {
      events_.ScheduleAt(wake->at, [this, query, generation = ++query->timer_generation,
                                    run = query->run.get()] {
        if (generation != query->timer_generation || run != query->run.get() || run->finished()) {
          return;
        }
        Execute(query, run->OnTimer(events_.Now()));
      });
    } else if (auto* answer = std::get_if<Answer>(&action)) {
      OnAnswer(query, answer->answer);
    }
  }
}

void ForwardModel::StartCall(const std::shared_ptr<Query>& query, const SendCall& send) {
  ++result_.calls;
  Node& node = *query->node;
  const BackendEntry& entry = send.backend->entry;
  CallKey key{query, send.call, next_call_++};
  query->calls[send.call] = {key.id, send.backend, events_.Now()};
  Duration delay = NetworkDelay(node.zone, entry.zone);
  Duration work = SampleWork(day_.classes[query->kind]);
  int& idle = node.idle[entry.id];
  if (idle > 0) {
    --idle;
    events_.ScheduleAfter(delay, [=, this] { Deliver(key, work); });
    return;
  }
  if (servers_.at(entry.id)->is_unresponsive() || !IsReachable(node.zone, entry.zone)) {
    events_.ScheduleAfter(kConnectTimeout, [this, key] { OnConnectFailed(key); });
    return;
  }
  // Opening the connection takes one round trip before the request is sent.
  events_.ScheduleAfter(3 * delay, [=, this] { Deliver(key, work + day_.handshake); });
}

std::shared_ptr<Backend> ForwardModel::BackendOfOpenCall(const CallKey& key) {
  auto found = key.query->calls.find(key.call);
  bool open = found != key.query->calls.end() && found->second.id == key.id;
  return open ? found->second.backend : nullptr;
}

void ForwardModel::OnConnectFailed(const CallKey& key) {
  auto backend = BackendOfOpenCall(key);
  if (!backend) return;
  ScheduleProbe(*key.query->node, backend);
  EndCall(key.query, key.call, CallEnd::kUnreachable);
}

void ForwardModel::Deliver(const CallKey& key, Duration work) {
  auto backend = BackendOfOpenCall(key);
  if (!backend || !IsReachable(key.query->node->zone, backend->entry.zone)) return;
  servers_.at(backend->entry.id)->Submit(key.id, work, [this, key](ModelServer::End end) {
    auto served = BackendOfOpenCall(key);
    if (!served) return;
    events_.ScheduleAfter(NetworkDelay(key.query->node->zone, served->entry.zone),
                          [this, key, end] { OnReply(key, end); });
  });
}

void ForwardModel::OnReply(const CallKey& key, ModelServer::End end) {
  auto backend = BackendOfOpenCall(key);
  if (!backend || !IsReachable(backend->entry.zone, key.query->node->zone)) return;
  int& idle = key.query->node->idle[backend->entry.id];
  idle = std::min(idle + 1, backend->max_idle_connections);
  ReadRateLimit(key, *backend);
  bool shed = end == ModelServer::End::kShed;
  EndCall(key.query, key.call, shed ? CallEnd::kNotRun : CallEnd::kAnswered);
}

// Responses are taken to state the limit of the moment at which they arrive.
void ForwardModel::ReadRateLimit(const CallKey& key, Backend& backend) {
  const std::optional<double>& rate = servers_.at(backend.entry.id)->rate_limit();
  if (rate) {
    key.query->node->table.OnRateStated(backend, *rate, events_.Now());
  } else {
    backend.rate_limit.OnNotStated(key.query->calls.at(key.call).sent);
  }
}

void ForwardModel::EndCall(const std::shared_ptr<Query>& query, std::uint32_t call, CallEnd end) {
  query->calls.erase(call);
  CallResult result;
  result.end = end;
  ForwardRun* run = query->run.get();
  Execute(query, run->OnResult(call, std::move(result), events_.Now()));
  if (run == query->run.get()) query->ticket.OnProgress(*run);
}

void ForwardModel::Cancel(const std::shared_ptr<Query>& query, std::uint32_t call) {
  auto found = query->calls.find(call);
  if (found == query->calls.end()) return;
  const BackendEntry& entry = found->second.backend->entry;
  if (IsReachable(query->node->zone, entry.zone)) {
    events_.ScheduleAfter(
        NetworkDelay(query->node->zone, entry.zone),
        [&server = *servers_.at(entry.id), id = found->second.id] { server.Cancel(id); });
  }
  query->calls.erase(found);
}

void ForwardModel::OnAnswer(const std::shared_ptr<Query>& query, const ForwardAnswer& answer) {
  query->ticket.Release(*query->run, events_.Now());
  result_.hedges += query->run->counts().hedges;
  if (answer.kind == AnswerKind::kRefused) return OnRefused(query, answer.retry_after);
  if (answer.kind != AnswerKind::kMerged) return OnFailed(query);
  const ModelQueryClass& kind = day_.classes[query->kind];
  TimePoint answered = events_.Now() + day_.caller_delay;
  double shard_fraction = static_cast<double>(answer.parts.size()) / day_.shards;
  double credit = kind.late_value;
  if (answered <= query->first_sent + kind.objective) {
    ++result_.in_time;
    credit = 1;
  } else if (query->refused_early && answered <= query->retried_at + kind.objective) {
    ++result_.in_time_on_retry;
    credit = (1 + kind.late_value) / 2;
  } else {
    ++result_.late;
  }
  if (answer.missing > 0) ++result_.partial;
  RecordCredit(*query, shard_fraction * shard_fraction * credit);
}

void ForwardModel::OnRefused(const std::shared_ptr<Query>& query, milliseconds retry_after) {
  if (query->attempts > 1) {
    ++result_.refused;
    return RecordCredit(*query, 0);
  }
  Duration objective = day_.classes[query->kind].objective;
  query->refused_early = events_.Now() <= query->first_sent + objective / kEarlyRefusalDivisor;
  auto max_delay = std::chrono::duration_cast<Duration>((query->deadline - events_.Now()) *
                                                        kMaxHonouredFraction);
  SendAttempt(query, std::min<Duration>(retry_after, max_delay) + day_.caller_delay);
}

void ForwardModel::OnFailed(const std::shared_ptr<Query>& query) {
  if (query->attempts == 1 && events_.Now() + 2 * day_.caller_delay < query->deadline) {
    return SendAttempt(query, day_.caller_delay);
  }
  ++result_.failed;
  RecordCredit(*query, 0);
}

void ForwardModel::RecordCredit(const Query& query, double credit) {
  double value = day_.classes[query.kind].value;
  auto second = static_cast<std::size_t>((query.first_sent - start_) / std::chrono::seconds(1));
  if (result_.total_value_by_second.size() <= second) {
    result_.total_value_by_second.resize(second + 1);
    result_.earned_value_by_second.resize(second + 1);
  }
  ++result_.queries;
  result_.total_value += value;
  result_.earned_value += value * credit;
  result_.total_value_by_second[second] += value;
  result_.earned_value_by_second[second] += value * credit;
}

void ForwardModel::ScheduleProbe(Node& node, const std::shared_ptr<Backend>& backend) {
  if (!node.probed.insert(backend->entry.id).second) return;
  events_.ScheduleAfter(kProbePause, [this, &node, backend] {
    const BackendEntry& entry = backend->entry;
    node.probed.erase(entry.id);
    if (!backend->call_stats.is_unreachable()) return;
    bool opened = !servers_.at(entry.id)->is_unresponsive() && IsReachable(node.zone, entry.zone);
    Duration took = opened ? 2 * NetworkDelay(node.zone, entry.zone) : Duration(kConnectTimeout);
    events_.ScheduleAfter(took, [this, &node, backend, opened, begun = events_.Now()] {
      node.table.OnProbed(*backend, begun, opened, events_.Now());
      if (opened) {
        ++node.idle[backend->entry.id];
      } else {
        ScheduleProbe(node, backend);
      }
    });
  });
}

bool ForwardModel::IsReachable(const ZoneName& from, const ZoneName& to) const {
  return from == to || (!isolated_since_.contains(from) && !isolated_since_.contains(to));
}

Duration ForwardModel::NetworkDelay(const ZoneName& from, const ZoneName& to) const {
  return from == to ? Duration(day_.zone_delay / 9) : Duration(day_.zone_delay);
}

Duration ForwardModel::SampleWork(const ModelQueryClass& kind) {
  double factor = 1 - kWorkSpread / 2 + kWorkSpread * random_.NextDouble();
  if (random_.NextDouble() < kTailFraction) factor *= kTailFactor;
  return std::chrono::duration_cast<Duration>(kind.work * factor);
}

}  // namespace damaskroute::model
