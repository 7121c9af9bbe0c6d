#ifndef TESTS_SUPPORT_FORWARD_FIXTURE_H_
#define TESTS_SUPPORT_FORWARD_FIXTURE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/forward/forward_run.h"
#include "fmt/format.h"

namespace damaskroute {

/// Shards `s0`, `s1`, ... with servers in the zones `a`, `b`, ..., a manual clock, and the actions
/// of one run.
struct ForwardFixture {
  explicit ForwardFixture(int shards = 1, int servers = 2) {
    for (int shard = 0; shard < shards; ++shard) {
      for (int i = 0; i < servers; ++i)
        AddServer(shard, fmt::format("{}", static_cast<char>('a' + i)));
    }
  }

  static ServiceName Service(int shard) { return fmt::format("s{}", shard); }

  static BackendEntry Entry(int shard, const std::string& zone) {
    BackendEntry entry;
    entry.id = fmt::format("{}{}", Service(shard), zone);
    entry.service = Service(shard);
    entry.endpoint = {"10.0.0.1", 80};
    entry.zone = zone;
    entry.slots = 3;
    return entry;
  }

  void AddServer(int shard, const std::string& zone) {
    table.Put(Entry(shard, zone), clock.Now());
    table.Find(fmt::format("{}{}", Service(shard), zone))->max_outstanding = 8;
  }

  ForwardSpec Query(int shards, std::size_t min_parts) {
    ForwardSpec spec;
    for (int i = 0; i < shards; ++i) spec.services.push_back(Service(i));
    spec.query = true;
    spec.idempotent = true;
    spec.max_attempts = 2;
    spec.min_parts = min_parts;
    spec.deadline = clock.Now() + std::chrono::milliseconds(1000);
    spec.answer_by = clock.Now() + std::chrono::milliseconds(70);
    spec.hedge_after = std::chrono::milliseconds(25);
    return spec;
  }

  ForwardSpec Plain(bool idempotent) {
    ForwardSpec spec = Query(1, 1);
    spec.query = false;
    spec.idempotent = idempotent;
    spec.answer_by = TimePoint::max();
    return spec;
  }

  void Begin(ForwardSpec spec, bool hedging = true, bool canary = false) {
    run = std::make_unique<ForwardRun>(std::move(spec),
                                       ForwardContext{table, budgets, budget_options, latency});
    if (canary) run->RunAsCanary();
    if (!hedging) run->DisableHedging();
    Take(run->Start(clock.Now()));
  }

  void Take(std::vector<ForwardAction> actions) {
    for (ForwardAction& action : actions) {
      if (auto* send = std::get_if<SendCall>(&action)) {
        open[send->call] = send->backend->entry.id;
        sent.push_back(send->backend->entry.id);
      } else if (auto* cancel = std::get_if<CancelCall>(&action)) {
        open.erase(cancel->call);
      } else if (auto* wake = std::get_if<WakeAt>(&action)) {
        wake_at = wake->at;
      } else {
        answer = std::move(std::get<Answer>(action).answer);
      }
    }
  }

  /// Ends the open call to `server`.
  void End(const std::string& server, CallEnd end, int status = 200, bool connection_lost = false) {
    for (const auto& [call, name] : open) {
      if (name != server) continue;
      CallResult result;
      result.end = end;
      result.status = status;
      result.stamp = "stamp-" + server;
      result.connection_lost = connection_lost;
      std::uint32_t number = call;
      open.erase(number);
      return Take(run->OnResult(number, std::move(result), clock.Now()));
    }
  }

  /// The connection of the open call to `server` breaks, as if the server had crashed.
  void Lose(const std::string& server) { End(server, CallEnd::kLost, 0, /*connection_lost=*/true); }

  void Answer200(const std::string& server) { End(server, CallEnd::kAnswered); }

  /// Advances the clock and fires the run's timers when due.
  void Advance(std::chrono::milliseconds span) {
    TimePoint end = clock.Now() + span;
    while (wake_at <= end && !run->finished()) {
      if (wake_at > clock.Now()) clock.Advance(wake_at - clock.Now());
      wake_at = TimePoint::max();
      Take(run->OnTimer(clock.Now()));
    }
    if (end > clock.Now()) clock.Advance(end - clock.Now());
  }

  bool IsOpen(const std::string& server) const {
    for (const auto& [call, name] : open) {
      if (name == server) return true;
    }
    return false;
  }

  ManualClock clock;
  BackendTable table{{.local_zone = "a"}, 1};
  std::unordered_map<ServiceName, ExtraBudget> budgets;
  ExtraBudgetOptions budget_options{.node_slack = 20};
  RouteLatency latency{std::chrono::milliseconds(80)};
  std::unique_ptr<ForwardRun> run;
  std::map<std::uint32_t, std::string> open;  // Servers by call.
  std::vector<std::string> sent;
  TimePoint wake_at = TimePoint::max();
  std::optional<ForwardAnswer> answer;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_FORWARD_FIXTURE_H_
