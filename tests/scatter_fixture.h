#ifndef DAMASKROUTE_TESTS_SCATTER_FIXTURE_H_
#define DAMASKROUTE_TESTS_SCATTER_FIXTURE_H_

#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/scatter/partition_view.h"
#include "damaskroute/scatter/scatter_gather.h"

namespace damaskroute {

/// A service with `shards` equal shards and one replica of each shard in every zone. Holder `hZ`
/// serves the replicas of zone Z.
class Fleet {
 public:
  Fleet(int shards, int zones) : shards_(shards), zones_(zones) {
    Service service{.name = "s", .customer = "c", .warm_up = {}, .backends = {}};
    for (int zone = 0; zone < zones; ++zone) {
      config_.zones.push_back({.name = fmt::format("z{}", zone), .region = "r"});
      for (int shard = 0; shard < shards; ++shard) {
        service.backends.push_back(
            {.name = Backend(shard, zone), .zone = fmt::format("z{}", zone), .endpoint = {}});
        Report(shard, zone, {1}, 2);
      }
    }
    config_.services.push_back(service);
  }

  static BackendName Backend(int shard, int zone) { return fmt::format("b{}-{}", shard, zone); }

  KeyRange Range(int shard) const {
    std::uint64_t step = kKeySpaceSize / shards_;
    return {shard * step, shard + 1 == shards_ ? kKeySpaceSize : (shard + 1) * step};
  }

  void Report(int shard, int zone, const std::vector<IndexVersion>& versions, std::uint32_t share) {
    BackendReport report{.holder = fmt::format("h{}", zone),
                         .sequence = ++sequence_,
                         .service = "s",
                         .backend = Backend(shard, zone),
                         .boot_id = 1,
                         .state = BackendState::kWarm,
                         .share = share,
                         .held = {}};
    for (IndexVersion version : versions) report.held.push_back({version, Range(shard)});
    reports.Apply(report);
  }

  void ReportAll(const std::vector<IndexVersion>& versions) {
    for (int zone = 0; zone < zones_; ++zone) {
      for (int shard = 0; shard < shards_; ++shard) Report(shard, zone, versions, 2);
    }
  }

  std::shared_ptr<const ServiceView> View() {
    return std::make_shared<const ServiceView>(reports.MakeServiceView("s", config_, loads));
  }

  PartitionView reports;
  LoadTable loads;
  ConfigDocument config_;

 private:
  int shards_;
  int zones_;
  std::uint64_t sequence_ = 0;
};

/// Runs one query and records its actions.
class QueryRun {
 public:
  struct Sent {
    ShardCall call;
    NodeName holder;
    IndexVersion version;
    bool open = true;
  };

  QueryRun(Fleet& fleet, bool canary = false, HedgeSettings hedge_settings = {},
           bool known_good = false)
      : hedge(hedge_settings, node_hedge_budget),
        fleet_(fleet),
        query_({.query_id = 7,
                .request_id = "r",
                .service = "s",
                .priority = Priority::kNormal,
                .deadline = clock.Now() + std::chrono::milliseconds(100),
                .fingerprint = 1,
                .body = "{}",
                .known_good = known_good,
                .canary = canary},
               fleet.View(), {selector, hedge, retries, random}) {
    // 1,000 calls of 1 to 10 ms.
    for (int i = 0; i < 1000; ++i) hedge.latency().Record(Milliseconds(1 + i % 10), clock.Now());
    hedge.latency().Refresh();
  }

  static Duration Milliseconds(int count) { return std::chrono::milliseconds(count); }

  void Start() { Execute(query_.Start(clock.Now())); }
  void Timer(Duration later) {
    clock.Advance(later);
    Execute(query_.OnTimer(clock.Now()));
  }
  void LoseHolder(const NodeName& holder) {
    for (auto& [id, sent] : calls) sent.open = sent.open && sent.holder != holder;
    Execute(query_.OnHolderLost(holder, clock.Now()));
  }
  void Abandon() { Execute(query_.Abandon(clock.Now())); }
  void ChangeView() { Execute(query_.OnViewChanged(fleet_.View(), clock.Now())); }

  ShardReply ReplyTo(std::uint32_t id, ShardOutcome outcome) const {
    const Sent& sent = calls.at(id);
    return {.query_id = 7,
            .call_id = id,
            .attempt = sent.call.attempt,
            .backend = sent.call.backend,
            .outcome = outcome,
            .version = sent.version,
            .range = sent.call.range,
            .rows = Row(sent.version, sent.call.range),
            .boot_id = 1};
  }
  void Deliver(const ShardReply& reply) {
    if (auto it = calls.find(reply.call_id); it != calls.end()) it->second.open = false;
    Execute(query_.OnReply(reply, clock.Now()));
  }
  void Answer(std::uint32_t id, ShardOutcome outcome = ShardOutcome::kRows) {
    Deliver(ReplyTo(id, outcome));
  }
  /// Answers all open calls, including those sent meanwhile, except for `unresponsive` backend
  /// servers.
  void AnswerAll(ShardOutcome outcome = ShardOutcome::kRows,
                 const std::set<BackendName>& unresponsive = {}) {
    for (std::uint32_t id = 0; id < calls.size(); ++id) {
      if (calls.at(id).open && !unresponsive.contains(calls.at(id).call.backend))
        Answer(id, outcome);
    }
  }
  std::vector<std::uint32_t> Open() const {
    std::vector<std::uint32_t> ids;
    for (const auto& [id, sent] : calls) {
      if (sent.open) ids.push_back(id);
    }
    return ids;
  }
  static std::string Row(IndexVersion version, const KeyRange& range) {
    return fmt::format("{}:{}", version, FormatKeyRange(range));
  }

  ManualClock clock;
  TokenBudget node_hedge_budget{0.05, 100};
  HedgePolicy hedge;
  TokenBudget retries{kRetryRatio, kRetryBurst};
  ReplicaSelector selector{"z0"};
  Random random{1};
  std::map<std::uint32_t, Sent> calls;
  std::vector<ReportCrash> crashes;
  std::optional<TimePoint> timer;
  std::optional<QueryResult> result;
  int finishes = 0;
  bool invalid_action = false;

 private:
  void Execute(std::vector<ScatterAction> actions) {
    for (ScatterAction& action : actions) {
      if (result.has_value()) invalid_action = true;
      if (auto* send = std::get_if<SendCalls>(&action)) {
        for (const ShardCall& call : send->calls) {
          if (!calls.insert({call.call_id, {call, send->holder, send->version}}).second) {
            invalid_action = true;  // A call id was used twice.
          }
        }
      } else if (auto* cancel = std::get_if<CancelSentCalls>(&action)) {
        for (std::uint32_t id : cancel->call_ids) calls.at(id).open = false;
      } else if (auto* set = std::get_if<SetTimer>(&action)) {
        timer = set->at;
      } else if (auto* crash = std::get_if<ReportCrash>(&action)) {
        crashes.push_back(*crash);
      } else if (auto* finish = std::get_if<Finish>(&action)) {
        result = std::move(finish->result);
        ++finishes;
      }
    }
  }

  Fleet& fleet_;
  ScatterGather query_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_SCATTER_FIXTURE_H_
