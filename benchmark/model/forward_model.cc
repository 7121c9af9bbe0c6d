#include "benchmark/model/forward_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "damaskroute/forward/time_on_the_way.h"
#include "damaskroute/forward/timer_delay.h"
#include "fmt/format.h"

namespace damaskroute::model {
namespace {

using std::chrono::milliseconds;

// As the product's connect_timeout (ForwardServiceOptions).
constexpr milliseconds kConnectTimeout{60};

// As the product's longest pause between probes (ReachProber).
constexpr milliseconds kProbePause{400};

// The platform's balancer asks each second and takes a node out after two misses.
constexpr milliseconds kBalancerDelay{2000};

// As the product's Retry-After of a full limit: a part of the time that the caller waits.
constexpr double kLeastReturnPart = 0.15;
constexpr double kMostReturnPart = 0.3;

// A caller honours a Retry-After up to this part of the time that it has left.
constexpr double kMostReturn = 1.0 / 3;

// A refusal within this part of the objective leaves its caller time for another attempt.
constexpr int kAtOnceParts = 4;

// Spread of the work of calls, and the few that take much longer, as on the users' deployments.
constexpr double kSpread = 0.7;
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5;

std::string ServiceOf(int shard) { return fmt::format("s{}", shard); }

}  // namespace

struct ForwardModel::Node {
  Node(const ZoneName& own_zone, const BackendTableOptions& options, std::uint64_t seed)
      : zone(own_zone), table(options, seed) {}

  ZoneName zone;
  BackendTable table;
  std::unordered_map<ServiceName, ExtraBudget> budgets;
  ExtraBudgetOptions budget_options;
  std::map<std::size_t, RouteLatency> latencies;  // By kind of query.
  OverloadLimit limit;
  std::map<BackendName, int> idle;  // Open connections without a call.
  std::set<BackendName> probed;
};

struct ForwardModel::Query {
  struct OpenCall {
    std::uint64_t id = 0;
    std::shared_ptr<Backend> backend;
  };

  std::size_t kind = 0;
  ZoneName caller_zone;
  TimePoint asked;
  TimePoint deadline;  // The caller waits no longer.
  int attempts = 0;
  bool refused_at_once = false;  // Its first attempt.
  TimePoint returned;            // When its caller sent it again.
  Node* node = nullptr;
  std::unique_ptr<ForwardRun> run;
  QueryPlace place;
  std::map<std::uint32_t, OpenCall> calls;
  std::uint64_t wakes = 0;  // Only the last timer counts.
};

ForwardModel::ForwardModel(ModelDay day, const ModelPolicy& policy, std::uint64_t seed)
    : day_(std::move(day)),
      policy_(policy),
      arrivals_(seed),
      random_(~seed),
      start_(events_.Now()) {
  MakeServers();
  MakeNodes();
  PlanTroubles();
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
      auto phase = random_.Unit() * day_.pause_every;
      servers_.emplace(shards.back() + zone,
                       std::make_unique<ModelServer>(events_, day_,
                                                     std::chrono::duration_cast<Duration>(phase)));
    }
  }
  for (const ModelClass& kind : day_.classes) {
    Route route;
    route.name = kind.name;
    route.host = "model";
    route.prefix = "/" + kind.name + "/";
    route.idempotent = true;
    route.timeout = kind.patience;
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
  for (const ZoneName& zone : day_.node_zones) {
    BackendTableOptions options;
    options.own_zone = zone;
    if (policy_.zone_cost) options.zone_cost = *policy_.zone_cost;
    auto& node = *nodes_.emplace_back(std::make_unique<Node>(zone, options, random_.Next()));
    node.budget_options = day_.budget;
    if (policy_.extra_ratio) node.budget_options.ratio = *policy_.extra_ratio;
    node.table.SetPolicies(routes_, static_cast<int>(day_.node_zones.size()));
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

void ForwardModel::PlanTroubles() {
  for (const ModelTrouble& trouble : day_.troubles) Plan(trouble);
}

void ForwardModel::Plan(const ModelTrouble& trouble) {
  TimePoint from = start_ + trouble.from;
  TimePoint to = from + trouble.span;
  if (trouble.kind == TroubleKind::kCrowd) {
    events_.At(from, [this, trouble] { crowd_ = trouble.factor; });
    events_.At(to, [this] { crowd_ = 1; });
  } else if (trouble.kind == TroubleKind::kCut) {
    events_.At(from, [this, trouble] { cut_since_[trouble.zone] = events_.Now(); });
    events_.At(to, [this, trouble] { cut_since_.erase(trouble.zone); });
  } else {
    for (auto& [name, server] : servers_) {
      if (random_.Unit() >= trouble.share) continue;
      bool slow = trouble.kind == TroubleKind::kSlow;
      events_.At(from, [&server = *server, slow, factor = trouble.factor] {
        slow ? server.SetSlowness(factor) : server.SetDark(true);
      });
      events_.At(
          to, [&server = *server, slow] { slow ? server.SetSlowness(1) : server.SetDark(false); });
    }
  }
}

ModelResult ForwardModel::Play() {
  for (std::size_t kind = 0; kind < day_.classes.size(); ++kind) ScheduleNext(kind);
  Duration rest{};  // Until the last caller has left.
  for (const ModelClass& kind : day_.classes) rest = std::max<Duration>(rest, kind.patience);
  events_.RunUntil(start_ + day_.length + 2 * rest);
  return result_;
}

void ForwardModel::ScheduleNext(std::size_t kind) {
  double rate = day_.classes[kind].per_second * crowd_;
  std::chrono::duration<double> pause(-std::log(1 - arrivals_.Unit()) / rate);
  TimePoint next = events_.Now() + std::chrono::duration_cast<Duration>(pause);
  if (next >= start_ + day_.length) return;
  events_.At(next, [this, kind] {
    Ask(kind);
    ScheduleNext(kind);
  });
}

void ForwardModel::Ask(std::size_t kind) {
  auto query = std::make_shared<Query>();
  query->kind = kind;
  query->caller_zone = day_.node_zones[arrivals_.Below(day_.node_zones.size())];
  query->asked = events_.Now();
  query->deadline = query->asked + day_.classes[kind].patience;
  AskAgain(query, {});
}

ForwardModel::Node& ForwardModel::NodeFor(const ZoneName& zone, const Node* but) {
  auto cut = cut_since_.find(zone);
  bool out = cut != cut_since_.end() && events_.Now() >= cut->second + kBalancerDelay;
  std::vector<Node*> fit;
  for (const auto& node : nodes_) {
    if ((node->zone == zone) != out && node.get() != but) fit.push_back(node.get());
  }
  if (fit.empty()) return *nodes_[random_.Below(nodes_.size())];
  return *fit[random_.Below(fit.size())];
}

void ForwardModel::AskAgain(const std::shared_ptr<Query>& query, Duration pause) {
  query->returned = events_.Now() + pause;
  events_.After(pause + day_.caller_delay, [this, query] {
    ++query->attempts;
    query->node = &NodeFor(query->caller_zone, query->node);
    Arrive(query);
  });
}

void ForwardModel::Arrive(const std::shared_ptr<Query>& query) {
  TimePoint now = events_.Now();
  if (now >= query->deadline) return OnFailed(query);
  Node& node = *query->node;
  const Route& route = routes_->document().routes[query->kind];
  const QueryPlan& plan = routes_->Plan(route);
  Duration way = TimeOnTheWay({.round_trip = day_.caller_delay * 2}, route.objective);
  Duration outside = way + TimerDelay().allowance();
  ForwardSpec spec = MakeQuerySpec(route, plan, {now, query->deadline, outside});
  if (policy_.copy_after) {
    spec.copy_after = std::chrono::duration_cast<Duration>(route.objective * *policy_.copy_after);
  }
  query->run = std::make_unique<ForwardRun>(
      std::move(spec), ForwardPolicies{node.table, node.budgets, node.budget_options,
                                       node.latencies.at(query->kind)});
  query->place = {};
  if (policy_.limit_queries && !query->place.Take(node.limit, plan.urgent, *query->run, now)) {
    double part = kLeastReturnPart + (kMostReturnPart - kLeastReturnPart) * random_.Unit();
    return OnRefused(query,
                     std::chrono::duration_cast<milliseconds>((query->deadline - now) * part));
  }
  Carry(query, query->run->Start(now));
}

void ForwardModel::Carry(const std::shared_ptr<Query>& query, std::vector<ForwardAction> actions) {
  for (ForwardAction& action : actions) {
    if (auto* send = std::get_if<SendCall>(&action)) {
      StartCall(query, *send);
    } else if (auto* cancel = std::get_if<CancelCall>(&action)) {
      Cancel(query, cancel->call);
    } else if (auto* wake = std::get_if<WakeAt>(&action)) {
      events_.At(wake->at, [this, query, number = ++query->wakes, run = query->run.get()] {
        if (number != query->wakes || run != query->run.get() || run->finished()) return;
        Carry(query, run->OnTimer(events_.Now()));
      });
    } else if (auto* answer = std::get_if<Answer>(&action)) {
      Conclude(query, answer->answer);
    }
  }
}

void ForwardModel::StartCall(const std::shared_ptr<Query>& query, const SendCall& send) {
  ++result_.calls;
  Node& node = *query->node;
  const BackendEntry& entry = send.backend->entry;
  CallKey key{query, send.call, next_call_++};
  query->calls[send.call] = {key.id, send.backend};
  Duration way = Delay(node.zone, entry.zone);
  Duration work = Work(day_.classes[query->kind]);
  int& idle = node.idle[entry.id];
  if (idle > 0) {
    --idle;
    events_.After(way, [=, this] { Deliver(key, work); });
    return;
  }
  if (servers_.at(entry.id)->is_dark() || !Reaches(node.zone, entry.zone)) {
    events_.After(kConnectTimeout, [this, key] { OnNoConnection(key); });
    return;
  }
  // A round trip opens the connection.
  events_.After(3 * way, [=, this] { Deliver(key, work + day_.handshake); });
}

std::shared_ptr<Backend> ForwardModel::OpenBackend(const CallKey& key) {
  auto found = key.query->calls.find(key.call);
  bool open = found != key.query->calls.end() && found->second.id == key.id;
  return open ? found->second.backend : nullptr;
}

void ForwardModel::OnNoConnection(const CallKey& key) {
  auto backend = OpenBackend(key);
  if (!backend) return;
  Probe(*key.query->node, backend);
  EndCall(key.query, key.call, CallEnd::kUnreachable);
}

void ForwardModel::Deliver(const CallKey& key, Duration work) {
  auto backend = OpenBackend(key);
  if (!backend || !Reaches(key.query->node->zone, backend->entry.zone)) return;
  servers_.at(backend->entry.id)->Arrive(key.id, work, [this, key](ModelServer::End end) {
    auto served = OpenBackend(key);
    if (!served) return;
    events_.After(Delay(key.query->node->zone, served->entry.zone),
                  [this, key, end] { Return(key, end); });
  });
}

void ForwardModel::Return(const CallKey& key, ModelServer::End end) {
  auto backend = OpenBackend(key);
  if (!backend || !Reaches(backend->entry.zone, key.query->node->zone)) return;
  int& idle = key.query->node->idle[backend->entry.id];
  idle = std::min(idle + 1, backend->max_kept);
  bool shed = end == ModelServer::End::kShed;
  EndCall(key.query, key.call, shed ? CallEnd::kNotRun : CallEnd::kAnswered);
}

void ForwardModel::EndCall(const std::shared_ptr<Query>& query, std::uint32_t call, CallEnd end) {
  query->calls.erase(call);
  CallResult result;
  result.end = end;
  ForwardRun* run = query->run.get();
  Carry(query, run->OnResult(call, std::move(result), events_.Now()));
  if (run == query->run.get()) query->place.OnProgress(*run);
}

void ForwardModel::Cancel(const std::shared_ptr<Query>& query, std::uint32_t call) {
  auto found = query->calls.find(call);
  if (found == query->calls.end()) return;
  const BackendEntry& entry = found->second.backend->entry;
  if (Reaches(query->node->zone, entry.zone)) {
    events_.After(Delay(query->node->zone, entry.zone),
                  [&server = *servers_.at(entry.id), id = found->second.id] { server.Drop(id); });
  }
  query->calls.erase(found);
}

void ForwardModel::Conclude(const std::shared_ptr<Query>& query, const ForwardAnswer& answer) {
  query->place.Release(*query->run, events_.Now());
  result_.copies += query->run->counts().copies;
  if (answer.kind == AnswerKind::kRefused) return OnRefused(query, answer.retry_after);
  if (answer.kind != AnswerKind::kMerged) return OnFailed(query);
  const ModelClass& kind = day_.classes[query->kind];
  TimePoint answered = events_.Now() + day_.caller_delay;
  double share = static_cast<double>(answer.parts.size()) / day_.shards;
  double credit = kind.late_worth;
  if (answered <= query->asked + kind.objective) {
    ++result_.in_time;
    credit = 1;
  } else if (query->refused_at_once && answered <= query->returned + kind.objective) {
    ++result_.in_time_again;
    credit = (1 + kind.late_worth) / 2;
  } else {
    ++result_.late;
  }
  if (answer.missing > 0) ++result_.partial;
  Count(*query, share * share * credit);
}

void ForwardModel::OnRefused(const std::shared_ptr<Query>& query, milliseconds retry_after) {
  if (query->attempts > 1) {
    ++result_.refused;
    return Count(*query, 0);
  }
  Duration patience = day_.classes[query->kind].objective;
  query->refused_at_once = events_.Now() <= query->asked + patience / kAtOnceParts;
  auto most = std::chrono::duration_cast<Duration>((query->deadline - events_.Now()) * kMostReturn);
  AskAgain(query, std::min<Duration>(retry_after, most) + day_.caller_delay);
}

void ForwardModel::OnFailed(const std::shared_ptr<Query>& query) {
  if (query->attempts == 1 && events_.Now() + 2 * day_.caller_delay < query->deadline) {
    return AskAgain(query, day_.caller_delay);
  }
  ++result_.failed;
  Count(*query, 0);
}

void ForwardModel::Count(const Query& query, double credit) {
  double worth = day_.classes[query.kind].worth;
  auto second = static_cast<std::size_t>((query.asked - start_) / std::chrono::seconds(1));
  if (result_.owed_by_second.size() <= second) {
    result_.owed_by_second.resize(second + 1);
    result_.earned_by_second.resize(second + 1);
  }
  ++result_.asked;
  result_.owed += worth;
  result_.earned += worth * credit;
  result_.owed_by_second[second] += worth;
  result_.earned_by_second[second] += worth * credit;
}

void ForwardModel::Probe(Node& node, const std::shared_ptr<Backend>& backend) {
  if (!node.probed.insert(backend->entry.id).second) return;
  events_.After(kProbePause, [this, &node, backend] {
    const BackendEntry& entry = backend->entry;
    node.probed.erase(entry.id);
    if (!backend->evidence.is_unreachable()) return;
    bool opened = !servers_.at(entry.id)->is_dark() && Reaches(node.zone, entry.zone);
    Duration took = opened ? 2 * Delay(node.zone, entry.zone) : Duration(kConnectTimeout);
    events_.After(took, [this, &node, backend, opened, begun = events_.Now()] {
      node.table.OnProbed(*backend, begun, opened, events_.Now());
      if (opened) {
        ++node.idle[backend->entry.id];
      } else {
        Probe(node, backend);
      }
    });
  });
}

bool ForwardModel::Reaches(const ZoneName& from, const ZoneName& to) const {
  return from == to || (!cut_since_.contains(from) && !cut_since_.contains(to));
}

Duration ForwardModel::Delay(const ZoneName& from, const ZoneName& to) const {
  return from == to ? Duration(day_.zone_delay / 9) : Duration(day_.zone_delay);
}

Duration ForwardModel::Work(const ModelClass& kind) {
  double factor = 1 - kSpread / 2 + kSpread * random_.Unit();
  if (random_.Unit() < kTailShare) factor *= kTailFactor;
  return std::chrono::duration_cast<Duration>(kind.work * factor);
}

}  // namespace damaskroute::model
