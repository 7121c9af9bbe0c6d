#ifndef TESTS_QUOTA_NETWORK_H_
#define TESTS_QUOTA_NETWORK_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/node/node_count.h"
#include "damaskroute/quota/quota_client.h"
#include "damaskroute/quota/quota_codec.h"
#include "damaskroute/quota/quota_coordinator.h"
#include "fmt/format.h"

namespace damaskroute {

/// Nodes with quotas in simulated time. The network loses, delays and repeats datagrams; the store
/// reports changes of the nodes late, or not at all to nodes that are cut off from it.
class QuotaNetwork {
 public:
  struct Faults {
    double loss = 0;
    double repeat = 0;
    Duration max_delay = std::chrono::milliseconds(4);
  };

  struct Node {
    NodeName name;
    Duration clock_offset{};  // Boot clocks of machines have nothing in common.
    std::unique_ptr<QuotaClient> client;
    std::unique_ptr<QuotaCoordinator> coordinator;
    NodeCount count;
    std::set<NodeName> listed;  // Keys that the node has read from the store.
    std::shared_ptr<const QuotaTable> table = std::make_shared<QuotaTable>();
    bool alive = false;
    bool store = true;  // Whether it reaches the store.
    int side = 0;       // Nodes with different sides do not reach each other.
    Duration frozen_until{};
    Duration store_contact{};
    Duration key_expires{};
    bool key_found = false;  // The key was in the store when the process started.
    Duration next_timer = Duration::max();
    std::uint64_t process = 0;
  };

  struct Result {
    Duration at{};
    QuotaOutcome outcome{};
    std::chrono::milliseconds retry_after{};
  };

  QuotaNetwork(int nodes, std::uint64_t seed, std::vector<Tenant> tenants)
      : random_(seed), tenants_(std::move(tenants)) {
    for (int i = 0; i < nodes; ++i) {
      Add();
      Start(static_cast<std::size_t>(i));
    }
    At(Duration::zero(), [this] { ReadStore(); });
  }

  void Add() {
    Node& node = *nodes_.emplace_back(std::make_unique<Node>());
    node.name = fmt::format("node-{}", nodes_.size() - 1);
    node.clock_offset = std::chrono::seconds(100 + random_.Below(100'000));
  }

  /// Starts a process; the one that ran before under this name has ended.
  void Start(std::size_t index) {
    Node& node = *nodes_[index];
    node.alive = true;
    node.process = random_.Next() | 1;
    node.frozen_until = Duration::zero();
    node.count = {};
    node.listed.clear();
    node.key_found = node.key_expires > now_;
    node.client = std::make_unique<QuotaClient>(node.name, node.process, options, LocalTime(node));
    node.coordinator = std::make_unique<QuotaCoordinator>(node.name, node.process, options);
    Configure(index, tenants_);
  }

  void Kill(std::size_t index) { nodes_[index]->alive = false; }
  void Freeze(std::size_t index, Duration time) { nodes_[index]->frozen_until = now_ + time; }

  void Configure(std::size_t index, const std::vector<Tenant>& tenants) {
    Node& node = *nodes_[index];
    node.table = std::make_shared<QuotaTable>(tenants, options.bounds, options.grant_validity);
    node.coordinator->SetTable(node.table, LocalTime(node));
    node.client->SetTable(node.table, LocalTime(node));
    Execute(index);
  }

  void ConfigureAll(std::vector<Tenant> tenants) {
    tenants_ = std::move(tenants);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->alive) Configure(i, tenants_);
    }
  }

  /// A client's request; runs when the node is not frozen.
  void Request(std::size_t index, const TenantName& tenant) {
    Node& node = *nodes_[index];
    if (!node.alive) return;
    if (node.frozen_until > now_) {
      return At(node.frozen_until, [this, index, tenant] { Request(index, tenant); });
    }
    ++requests[tenant];
    QuotaId id = QuotaIdOf(tenant);
    if (!node.client->HasQuota(id)) return Record(tenant, {now_, QuotaOutcome::kGranted});
    std::uint64_t waiter = next_waiter_++;
    waiters_[waiter] = tenant;
    node.client->Take(id, waiter, LocalTime(node));
    Execute(index);
  }

  /// Requests at random times with this mean rate per second; `choose` names the node.
  void Load(const TenantName& tenant, double rate, Duration from, Duration to,
            const std::function<std::size_t()>& choose) {
    Duration at = from;
    while (true) {
      at += std::chrono::nanoseconds(
          static_cast<std::int64_t>(-std::log(1 - random_.NextDouble()) / rate * 1e9));
      if (at >= to) return;
      At(at, [this, tenant, choose] { Request(choose(), tenant); });
    }
  }

  void At(Duration at, std::function<void()> event) {
    events_.push({std::max(at, now_), next_event_++, std::move(event)});
  }

  void RunUntil(Duration end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  /// Greatest number of requests of the tenant that ran within `window`.
  std::size_t MaxInWindow(const TenantName& tenant, Duration window, Duration from = {}) const {
    std::vector<Duration> runs;
    for (const Result& result : ResultsOf(tenant)) {
      if (result.outcome == QuotaOutcome::kGranted && result.at >= from) runs.push_back(result.at);
    }
    std::sort(runs.begin(), runs.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
      while (runs[last] - runs[first] > window) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  /// Results of the tenant's requests between two times, by outcome.
  std::size_t Count(const TenantName& tenant, QuotaOutcome outcome, Duration from,
                    Duration to) const {
    const auto& all = ResultsOf(tenant);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const Result& r) {
      return r.outcome == outcome && r.at >= from && r.at < to;
    }));
  }

  const std::vector<Result>& ResultsOf(const TenantName& tenant) const {
    static const std::vector<Result> kNone;
    auto found = results_.find(tenant);
    return found == results_.end() ? kNone : found->second;
  }

  Node& node(std::size_t index) { return *nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }
  Random& random() { return random_; }
  Duration now() const { return now_; }

  // Of section 1.3.
  QuotaOptions options{
      .bounds = {.window = std::chrono::seconds(5), .overshoot = 0.1, .slack = 20}};
  Faults faults;
  double return_rate = 0;  ///< Part of the granted requests that do not run.
  bool store_works = true;
  std::map<TenantName, std::size_t> requests;
  std::size_t expired_grants = 0;
  std::vector<std::size_t> bytes_sent, messages_sent;  ///< By node.

 private:
  struct Event {
    Duration at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  Duration LocalTime(const Node& node) const { return now_ + node.clock_offset; }

  void Record(const TenantName& tenant, const Result& result) {
    results_[tenant].push_back(result);
  }

  // All nodes read the store at times that differ by up to half a second.
  void ReadStore() {
    At(now_ + std::chrono::milliseconds(500), [this] { ReadStore(); });
    for (auto& node : nodes_) {
      bool renews = node->alive && node->store && store_works && node->frozen_until <= now_;
      if (renews) node->key_expires = now_ + std::chrono::seconds(30);
    }
    if (!store_works) return;
    std::set<NodeName> present;
    for (auto& node : nodes_) {
      if (node->key_expires > now_) present.insert(node->name);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      At(now_ + std::chrono::milliseconds(random_.Below(500)), [this, i, present] {
        Node& node = *nodes_[i];
        if (!node.alive || !node.store || node.frozen_until > now_) return;
        node.store_contact = now_;
        node.listed = present;
        for (const NodeName& name : present) node.count.Add(name);
        node.count.RetainOnly(present, TimePoint(now_));
      });
      At(now_ + std::chrono::milliseconds(500), [this, i] { ApplyView(i); });
    }
  }

  void ApplyView(std::size_t index) {
    Node& node = *nodes_[index];
    if (!node.alive || node.frozen_until > now_) return;
    auto counted = node.count.Counted(TimePoint(now_));
    std::size_t min_nodes =
        now_ - node.store_contact > options.join_delay ? NodeCount::kMinNodes : 1;
    if (node.key_found) node.client->SetJoinedBefore();
    node.coordinator->SetNodes(counted);
    node.client->SetNodes(counted, {node.listed.begin(), node.listed.end()}, min_nodes,
                          node.store_contact + node.clock_offset, LocalTime(node));
    Execute(index);
  }

  void Execute(std::size_t index) {
    Node& node = *nodes_[index];
    while (true) {
      QuotaActions actions = node.client->TakeActions();
      if (actions.sends.empty() && actions.verdicts.empty()) break;
      for (const QuotaSend& send : actions.sends) {
        auto to = static_cast<std::size_t>(std::stoul(send.to.substr(5)));
        Transmit(index, to, send.message);
      }
      for (const QuotaVerdict& verdict : actions.verdicts) OnVerdict(node, verdict);
    }
    Duration next = node.client->NextTimer(LocalTime(node));
    if (next == Duration::max()) return;
    next -= node.clock_offset;
    if (node.next_timer > now_ && node.next_timer <= next) return;
    node.next_timer = next;
    At(next, [this, index, next] { OnTimer(index, next); });
  }

  void OnTimer(std::size_t index, Duration due) {
    Node& node = *nodes_[index];
    if (!node.alive || node.next_timer != due) return;
    if (node.frozen_until > now_) {
      node.next_timer = node.frozen_until;
      return At(node.frozen_until, [this, index, at = node.next_timer] { OnTimer(index, at); });
    }
    node.next_timer = Duration::max();
    node.client->OnTimer(LocalTime(node));
    Execute(index);
  }

  void OnVerdict(Node& node, const QuotaVerdict& verdict) {
    auto found = waiters_.find(verdict.waiter);
    if (found == waiters_.end()) return;
    TenantName tenant = found->second;
    waiters_.erase(found);
    bool granted = verdict.outcome == QuotaOutcome::kGranted;
    if (granted && verdict.expires < LocalTime(node)) ++expired_grants;
    if (granted && random_.NextDouble() < return_rate) {
      node.client->Return(QuotaIdOf(tenant), verdict.expires, LocalTime(node));
      return;
    }
    Record(tenant, {now_, verdict.outcome, verdict.retry_after});
  }

  void Transmit(std::size_t from, std::size_t to, const QuotaMessage& message) {
    std::string bytes = EncodeQuotaMessage(message);
    if (from == to) return Deliver(from, to, bytes);
    bytes_sent.resize(nodes_.size());
    messages_sent.resize(nodes_.size());
    bytes_sent[from] += bytes.size();
    ++messages_sent[from];
    int copies = random_.NextDouble() < faults.repeat ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (random_.NextDouble() < faults.loss) continue;
      Duration delay = std::chrono::microseconds(
          200 +
          random_.Below(static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::microseconds>(faults.max_delay).count())));
      At(now_ + delay, [this, from, to, bytes] { Deliver(from, to, bytes); });
    }
  }

  void Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
    Node& node = *nodes_[to];
    if (!node.alive || node.side != nodes_[from]->side) return;
    if (node.frozen_until > now_) {
      return At(node.frozen_until, [this, from, to, bytes] { Deliver(from, to, bytes); });
    }
    QuotaMessage message = *DecodeQuotaMessage(bytes);
    Duration local = LocalTime(node);
    if (auto* lease = std::get_if<QuotaLease>(&message)) {
      Transmit(to, from, node.coordinator->OnLease(*lease, local));
    } else if (auto* ask = std::get_if<QuotaAsk>(&message)) {
      Transmit(to, from, node.coordinator->OnAsk(*ask, local));
    } else if (auto* reply = std::get_if<QuotaLeaseReply>(&message)) {
      node.client->OnLeaseReply(*reply, local);
    } else if (auto* grant = std::get_if<QuotaGrant>(&message)) {
      node.client->OnGrant(*grant, local);
    }
    if (from != to) Execute(to);
  }

  Random random_;
  std::vector<Tenant> tenants_;
  Duration now_{};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::map<std::uint64_t, TenantName> waiters_;
  std::uint64_t next_waiter_ = 1;
  std::map<TenantName, std::vector<Result>> results_;
};

}  // namespace damaskroute

#endif  // TESTS_QUOTA_NETWORK_H_
