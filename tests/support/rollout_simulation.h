#ifndef TESTS_SUPPORT_ROLLOUT_SIMULATION_H_
#define TESTS_SUPPORT_ROLLOUT_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/rollout/rollout_decider.h"
#include "fmt/format.h"

namespace damaskroute {

/// How the new version differs from the old one.
enum class VersionKind : std::uint8_t {
  kGood,
  kBadAtOnce,
  kBadLate,
  kBadUnderLoad,
  kBadOnOneRoute,
  kSlow
};

struct RolloutScenario {
  VersionKind kind = VersionKind::kGood;
  double requests_per_second = 40;
  std::chrono::milliseconds duration{12'000};
  int nodes = 25;
  std::uint64_t seed = 1;
  bool slow_day = false;  ///< All servers are slower for a time and fail more often.
};

/// Rollouts of one service in simulated time: nodes with a `RolloutDecider` each, a store whose
/// changes reach the nodes in batches, and servers of an old and a new version. Tests may cut off,
/// freeze or end nodes and change the store.
class RolloutSimulation {
 public:
  static constexpr char kService[] = "desk";
  static constexpr std::chrono::milliseconds kStep{20};
  static constexpr std::chrono::milliseconds kBatch{1200};
  static constexpr std::chrono::milliseconds kEagerBatch{300};

  struct Item {
    Revision revision = 0;
    RolloutRecord record;
  };
  struct Node {
    NodeName name;
    std::unique_ptr<RolloutDecider> decider;
    TimePoint delivered_at;
    Revision seen = 0;
    bool alive = true;
    bool frozen = false;
    bool cut_off = false;
    std::optional<RolloutWrite> frozen_write;  // Decided, but not sent before the freeze.
    bool freeze_on_decision = false;
  };

  explicit RolloutSimulation(const RolloutScenario& scenario)
      : scenario_(scenario), random_(scenario.seed * 7919 + 17) {
    for (int i = 0; i < scenario.nodes; ++i) StartNode(fmt::format("n{}", i));
    if (scenario.slow_day) {
      slow_from_ = scenario.duration * random_.NextDouble();
      slow_to_ = slow_from_ + scenario.duration * 0.3;
    }
    late_from_ = scenario.duration * (0.2 + 0.25 * random_.NextDouble());
  }

  void StartNode(const NodeName& name) {
    RolloutOptions options;
    options.canary_slack = 50;
    options.notice_delay = kBatch + std::chrono::milliseconds(300);
    Node& node = nodes_.emplace_back();
    node.name = name;
    node.decider = std::make_unique<RolloutDecider>(kService, name, options, random_.Next());
    node.delivered_at = now_ - std::chrono::milliseconds(random_.Below(kBatch.count()));
    names_.insert(name);
    for (Node& each : nodes_) ApplyNodes(each);
    if (record_.revision > 0) node.decider->OnRecord(record_.record, record_.revision, now_);
    if (order_revision_ > 0) node.decider->OnOrder(order_, order_revision_, false, now_);
    for (const auto& [reporter, report] : reports_) {
      node.decider->OnReport(reporter, report.second, now_);
    }
    node.decider->SetVersions(versions_);
    node.seen = revision_;
  }

  void Order(const std::string& version) {
    order_ = {kService, version, scenario_.duration};
    order_revision_ = ++revision_;
    ordered_at_ = now_;
  }
  void Withdraw() {
    order_revision_ = 0;
    withdrawn_revision_ = ++revision_;
  }
  void SetVersions(std::set<std::string> versions) {
    versions_ = std::move(versions);
    for (Node& node : nodes_) node.decider->SetVersions(versions_);
  }
  void EndNode(Node& node) {
    node.alive = false;
    names_.erase(node.name);
    for (Node& each : nodes_) ApplyNodes(each);
  }

  /// Runs until `end` after the order.
  void RunUntil(Duration end) {
    while (now_ < ordered_at_ + end) Step();
  }
  void RunToDeadline() { RunUntil(scenario_.duration); }

  Node* Holder() {
    for (Node& node : nodes_) {
      if (node.alive && node.decider->is_holder()) return &node;
    }
    return nullptr;
  }

  std::vector<Node>& nodes() { return nodes_; }
  TimePoint now() const { return now_; }
  bool store_up = true;
  Item& record() { return record_; }
  RolloutState stored_state() const { return record_.record.state; }
  bool HasStatus(RolloutState state) const { return status_ == RolloutStateName(state); }
  const std::string& status() const { return status_; }
  void DropReports() { reports_.clear(); }

  /// Replaces the store's contents by those of an older copy.
  void Restore(const Item& record) {
    record_ = record;
    status_ = record.revision > 0 ? "running" : "";
    reports_.clear();
    for (Node& node : nodes_) {
      node.decider->OnStoreRestored(now_);
      if (record.revision > 0) node.decider->OnRecord(record.record, record.revision, now_);
    }
  }

  // What the versions got between the order and the deadline.
  int requests = 0;
  int target_requests = 0;
  int bad_responses = 0;
  int target_after_rollback = 0;  ///< After `rolled_back` was stored.
  int old_after_success = 0;      ///< After `succeeded` was stored.
  int refused = 0;
  Duration last_target_after_50th{};  ///< Latest request to the target after the 50th bad response.
  int MaxTargetRequests() const { return static_cast<int>(0.1 * requests + 50); }
  bool Ended(RolloutState state) const { return HasStatus(state) && final_in_time_; }

 private:
  struct Call {
    TimePoint end;
    std::size_t node;
    bool target;
    int route;
    bool failed;
    Duration latency;
    bool bad;
    friend bool operator<(const Call& a, const Call& b) { return a.end > b.end; }
  };

  void ApplyNodes(Node& node) { node.decider->SetNodes(names_, {names_.begin(), names_.end()}); }

  void Step() {
    now_ += kStep;
    double expected = scenario_.requests_per_second * 0.02;
    for (int i = Poisson(expected); i > 0; --i) Request();
    while (!calls_.empty() && calls_.top().end <= now_) EndCall();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.alive || node.frozen) continue;
      Deliver(node);
      if ((now_.time_since_epoch() / kStep + static_cast<std::int64_t>(i)) % 5 == 0) Tick(node);
    }
  }

  int Poisson(double mean) {
    double limit = std::exp(-mean);
    double product = random_.NextDouble();
    int count = 0;
    for (; product > limit; product *= random_.NextDouble()) ++count;
    return count;
  }

  double Normal() {
    return std::sqrt(-2 * std::log(1 - random_.NextDouble())) *
           std::cos(6.283185307 * random_.NextDouble());
  }

  bool IsBad(int route) {
    Duration age = now_ - ordered_at_;
    switch (scenario_.kind) {
      case VersionKind::kGood:
        return false;
      case VersionKind::kBadAtOnce:
        return random_.NextDouble() < 0.3;
      case VersionKind::kBadLate:
        return age >= late_from_ && random_.NextDouble() < 0.4;
      case VersionKind::kBadUnderLoad:
        return target_rate_.size() > 0.3 * scenario_.requests_per_second &&
               random_.NextDouble() < 0.5;
      case VersionKind::kBadOnOneRoute:
        return route == 1 && random_.NextDouble() < 0.5;
      case VersionKind::kSlow:
        return random_.NextDouble() < 0.4;
    }
    return false;
  }

  void Request() {
    std::size_t index = random_.Below(nodes_.size());
    Node& node = nodes_[index];
    if (!node.alive || node.frozen || ordered_at_ == TimePoint()) return;
    RolloutDecider& decider = *node.decider;
    bool has_target = versions_.contains("v2");
    bool has_old = versions_.contains("v1");
    bool may_target = has_target && decider.Allows("v2", now_);
    bool may_old = has_old && decider.Allows("v1", now_);
    if (!may_target && !may_old) {
      ++refused;
      return;
    }
    VersionPreference preference = decider.PreferenceFor(false, now_);
    bool target =
        may_target && (!may_old || (preference.version != nullptr ? !preference.avoid
                                                                  : random_.NextDouble() < 0.5));
    double draw = random_.NextDouble();
    int route = draw < 0.6 ? 0 : draw < 0.9 ? 1 : 2;
    decider.OnSent(target ? "v2" : "v1");
    Count(target);
    double ms = (20 << route) * std::exp(0.4 * Normal());
    double failure = 0.003;
    Duration age = now_ - ordered_at_;
    if (scenario_.slow_day && age >= slow_from_ && age < slow_to_) {
      ms *= 3;
      failure = 0.02;
    }
    bool bad = target && IsBad(route);
    bool failed = random_.NextDouble() < failure;
    if (bad && (scenario_.kind == VersionKind::kSlow || random_.NextDouble() < 0.5)) {
      ms *= 4;
    } else if (bad) {
      failed = true;
    }
    auto latency = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(std::min(ms, 1500.0)));
    calls_.push({now_ + latency, index, target, route, failed || ms > 1500, latency, bad});
    ++open_[{index, target}];
  }

  void Count(bool target) {
    ++requests;
    if (!target) {
      if (HasStatus(RolloutState::kSucceeded)) ++old_after_success;
      return;
    }
    ++target_requests;
    target_rate_.push_back(now_);
    std::erase_if(target_rate_, [&](TimePoint at) { return at < now_ - std::chrono::seconds(1); });
    if (HasStatus(RolloutState::kRolledBack)) ++target_after_rollback;
    if (bad_responses >= 50) last_target_after_50th = now_ - fiftieth_at_;
  }

  void EndCall() {
    Call call = calls_.top();
    calls_.pop();
    --open_[{call.node, call.target}];
    if (call.bad && ++bad_responses == 50) fiftieth_at_ = now_;
    Node& node = nodes_[call.node];
    if (!node.alive || node.frozen) return;
    node.decider->OnResponse(call.target ? "v2" : "v1", fmt::format("r{}", call.route), call.failed,
                             call.latency, now_);
  }

  // Delivers all changes at once, as after the pause that collects changes.
  void Deliver(Node& node) {
    if (!store_up || node.cut_off || node.seen >= revision_) return;
    bool eager = node.decider->IsUrgent();
    if (now_ < node.delivered_at + (eager ? kEagerBatch : kBatch)) return;
    if (record_.revision > node.seen) {
      node.decider->OnRecord(record_.record, record_.revision, now_);
    }
    for (const auto& [reporter, report] : reports_) {
      if (report.first > node.seen) node.decider->OnReport(reporter, report.second, now_);
    }
    if (order_revision_ > node.seen) node.decider->OnOrder(order_, order_revision_, true, now_);
    if (withdrawn_revision_ > node.seen) node.decider->OnOrderRemoved(now_);
    node.seen = revision_;
    node.delivered_at = now_;
  }

  void Tick(Node& node) {
    RolloutDecider& decider = *node.decider;
    auto index = static_cast<std::size_t>(&node - nodes_.data());
    decider.SetOpenCalls(open_[{index, false}]);
    bool reached = store_up && !node.cut_off;
    if (reached) node.delivered_at = std::max(node.delivered_at, now_ - kBatch);
    decider.OnTick(now_, now_ - node.delivered_at);
    std::optional<RolloutWrite> write = std::exchange(node.frozen_write, std::nullopt);
    if (!write) write = decider.NextWrite(now_);
    bool decides = write && write->record.state != RolloutState::kRunning;
    if (decides && std::exchange(node.freeze_on_decision, false)) {
      node.frozen_write = std::move(write);
      node.frozen = true;
      return;
    }
    if (write) Execute(node, *write, reached);
    if (auto report = decider.NextReport(now_)) {
      if (!reached) return decider.OnReportFailed(now_);
      reports_[node.name] = {++revision_, *report};
      decider.OnReportWritten(*report, now_);
    } else if (reached && decider.HasStaleReport()) {
      reports_.erase(node.name);
      decider.OnReportDeleted();
    }
  }

  void Execute(Node& node, const RolloutWrite& write, bool reached) {
    if (!reached) return node.decider->OnWriteFailed(now_);
    if (write.expected_record != record_.revision || write.expected_order != order_revision_) {
      if (record_.revision > 0) {
        node.decider->OnRecord(record_.record, record_.revision, now_);
      } else {
        node.decider->OnRecordRemoved(revision_, now_);
      }
      return node.decider->OnWriteFailed(now_);
    }
    record_ = {++revision_, write.record};
    if (write.write_status) {
      RolloutState state = write.record.state;
      status_ = state == RolloutState::kWithdrawn ? "" : RolloutStateName(state);
      final_in_time_ = now_ < ordered_at_ + scenario_.duration;
    }
    node.decider->OnWritten(write, record_.revision, now_);
  }

  const RolloutScenario scenario_;
  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Node> nodes_;
  std::set<NodeName> names_;
  std::set<std::string> versions_{"v1", "v2"};
  Revision revision_ = 10;
  RolloutOrder order_;
  Revision order_revision_ = 0;
  Revision withdrawn_revision_ = 0;
  TimePoint ordered_at_;
  Item record_;
  std::map<NodeName, std::pair<Revision, RolloutReport>> reports_;
  std::string status_;
  bool final_in_time_ = false;
  std::priority_queue<Call> calls_;
  std::map<std::pair<std::size_t, bool>, std::int64_t> open_;
  std::vector<TimePoint> target_rate_;
  std::chrono::duration<double> slow_from_{};
  std::chrono::duration<double> slow_to_{};
  std::chrono::duration<double> late_from_{};
  TimePoint fiftieth_at_;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_ROLLOUT_SIMULATION_H_
