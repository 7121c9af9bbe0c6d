#ifndef DAMASKROUTE_TESTS_SUPPORT_ACTION_FIXTURE_H_
#define DAMASKROUTE_TESTS_SUPPORT_ACTION_FIXTURE_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/core/random.h"
#include "fmt/format.h"
#include "tests/support/caller.h"
#include "tests/support/cluster.h"

namespace damaskroute::testing {

/// Builds four nodes in three zones and an index of two shards, each with a replica in every zone.
inline void BuildActionCluster(Cluster& cluster, const standins::BackendOptions& options) {
  for (const char* zone : {"a", "b", "c"}) cluster.AddZone(zone);
  cluster.AddNode("node-a", "a");
  cluster.AddNode("node-b", "b");
  cluster.AddNode("node-c", "c");
  cluster.AddNode("node-d", "a");
  constexpr KeyRange kLow{0, kKeySpaceSize / 2};
  constexpr KeyRange kHigh{kKeySpaceSize / 2, kKeySpaceSize};
  for (const std::string zone : {"a", "b", "c"}) {
    cluster.AddBackend(zone + "-low", zone, {{1, {kLow}}}, options);
    cluster.AddBackend(zone + "-high", zone, {{1, {kHigh}}}, options);
  }
  cluster.AddService("desk");
}

/// Returns the verdict in an answer; empty if there was no answer.
inline std::string VerdictIn(const HttpCallResult& result) {
  constexpr std::string_view kMember = "\"verdict\":\"";
  std::size_t begin = result.body.find(kMember);
  if (begin == std::string::npos) return "";
  begin += kMember.size();
  return result.body.substr(begin, result.body.find('"', begin) - begin);
}

/// Returns an action id issued by a node; empty if the node does not answer.
inline std::string IssueId(Cluster& cluster, Caller& caller, std::size_t node) {
  HttpCallResult result =
      caller.Post(cluster.settings(node).callers, "/v1/fronts/desk/action-ids", "");
  if (result.status != 201) return "";
  std::size_t begin = result.body.find(":\"") + 2;
  return result.body.substr(begin, result.body.find('"', begin) - begin);
}

/// Sends an action. `text` makes the action unique, because an action that broke a connection is
/// blocked.
inline HttpCallResult SendAction(Cluster& cluster, Caller& caller, std::size_t node,
                                 const std::string& id, const std::string& text, std::uint64_t key,
                                 int deadline_ms) {
  return caller.Post(
      cluster.settings(node).callers, "/v1/fronts/desk/actions",
      fmt::format(R"({{"action_id":"{}","action":{{"text":"{}"}},"key":{},"deadline_ms":{}}})", id,
                  text, key, deadline_ms));
}

/// Number of times that the backend servers ran an action.
inline std::uint64_t TotalRuns(Cluster& cluster, const std::string& id) {
  std::uint64_t runs = 0;
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) runs += cluster.backend(i).RunCount(id);
  return runs;
}

/// An action and all verdicts that its callers received.
struct ActionRecord {
  std::string id;
  std::vector<std::string> verdicts;  ///< Verdicts of the first and repeated requests.
  std::string last;                   ///< Verdict of a repeated request after all faults ended.
};

/// Counts of actions and of violated guarantees.
struct ActionTally {
  std::uint64_t actions = 0;
  std::uint64_t executed = 0;  ///< Actions that a backend server started to run.
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t unanswered = 0;  ///< Requests without an answer, because their node was killed.
  std::uint64_t doubled = 0;     ///< Violation: ran more than once.
  std::uint64_t lost =
      0;  ///< Violation: ran, but the last verdict is neither ran nor may_have_run.
  std::uint64_t false_not_run = 0;  ///< Violation: a verdict was not_run, but it ran.
  std::uint64_t false_ran = 0;      ///< Violation: a verdict was ran, but it did not run.

  void Add(Cluster& cluster, const ActionRecord& record) {
    ++actions;
    std::uint64_t runs = TotalRuns(cluster, record.id);
    bool reported_not_run = record.last == "not_run";
    bool reported_ran = record.last == "ran";
    for (const std::string& verdict : record.verdicts) {
      reported_not_run = reported_not_run || verdict == "not_run";
      reported_ran = reported_ran || verdict == "ran";
      if (verdict.empty()) ++unanswered;
    }
    if (record.last == "ran") ++ran;
    if (record.last == "not_run") ++not_run;
    if (record.last == "may_have_run") ++may_have_run;
    if (runs > 0) ++executed;
    if (runs > 1) ++doubled;
    if (runs > 0 && record.last != "ran" && record.last != "may_have_run") ++lost;
    if (runs > 0 && reported_not_run) ++false_not_run;
    if (runs == 0 && reported_ran) ++false_ran;
  }

  std::string Text() const {
    return fmt::format(
        "{} actions, {} executed; last answers: {} ran, {} not_run, {} may_have_run; {} calls "
        "unanswered; {} doubled, {} "
        "lost, "
        "{} false not_run, {} false ran",
        actions, executed, ran, not_run, may_have_run, unanswered, doubled, lost, false_not_run,
        false_ran);
  }
};

/// Injects random faults while actions run.
class FaultInjector {
 public:
  FaultInjector(Cluster& cluster, std::uint64_t seed) : cluster_(cluster), random_(seed) {}

  /// Starts a random fault, keeps it active for a short time and ends it.
  void Step() {
    static constexpr std::array kFaults = {
        "shed",           "reset_before_run", "reset_after_run", "no_answer",
        "late_answer",    "wrong_request_id", "wrong_attempt",   "duplicate_headers",
        "malformed_json", "crossed_refusal"};
    switch (random_.Below(10)) {
      case 0:
        Restart();
        break;
      case 1:
        Partition();
        break;
      case 2:
        Pause();
        break;
      case 3:
        (void)AnyBackend().Control(R"({"crash":true})");
        SleepFor(30);
        break;
      case 4: {
        auto& backend = AnyBackend();
        (void)backend.Control(R"({"drain":true})");
        SleepFor(30);
        (void)backend.Control(R"({"drain":false})");
        break;
      }
      default: {
        auto& backend = AnyBackend();
        const char* fault = kFaults[random_.Below(kFaults.size())];
        (void)backend.Control(fmt::format(R"({{"faults":{{"{}":0.5}}}})", fault));
        SleepFor(20);
        (void)backend.Control(fmt::format(R"({{"faults":{{"{}":0}}}})", fault));
      }
    }
  }

 private:
  static void SleepFor(int milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
  }

  standins::BackendStandin& AnyBackend() {
    return cluster_.backend(random_.Below(cluster_.backend_count()));
  }

  void Restart() {
    std::size_t node = random_.Below(cluster_.node_count());
    cluster_.RemoveNode(node);
    SleepFor(static_cast<int>(random_.Below(50)));
    // Starts as a node without an earlier process. A restarted node does not use its shares for the
    // duration of the longest call, so after a few restarts nothing would run. These tests do not
    // check shares.
    if (!cluster_.StartNode(node, /*had_predecessor=*/false).ok()) ++failed_starts_;
  }

  void Partition() {
    std::size_t node = random_.Below(cluster_.node_count());
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < cluster_.node_count(); ++i) {
      if (i != node) others.push_back(i);
    }
    cluster_.PartitionNodes({node}, others);
    SleepFor(80);
    cluster_.Heal();
  }

  void Pause() {
    EntryNode& node = cluster_.node(random_.Below(cluster_.node_count()));
    node.Pause();
    SleepFor(80);
    node.Resume();
  }

  Cluster& cluster_;
  Random random_;
  int failed_starts_ = 0;
};

/// Runs `count` actions on `threads` threads under random faults. Each action is issued by one
/// node, sent through others, and repeated both concurrently and afterwards.
inline ActionTally RunActionFaults(std::uint64_t count, std::uint64_t seed, int threads) {
  standins::BackendOptions options;
  options.seed = seed;
  options.slots = 4;
  options.records = 10;
  options.service_time = std::chrono::milliseconds(1);
  options.service_jitter = std::chrono::milliseconds(4);
  options.cold_calls = 5;
  options.restart_delay = std::chrono::milliseconds(50);
  options.late_delay = std::chrono::milliseconds(150);
  Cluster cluster;
  BuildActionCluster(cluster, options);
  absl::Status started = cluster.Start();
  if (!started.ok() || !WaitFor([&] { return cluster.AnswersFully(0, "desk"); })) return {};

  std::atomic<std::uint64_t> next{0};
  std::mutex mutex;
  std::vector<ActionRecord> records;
  auto run = [&](std::uint64_t thread_seed) {
    Random random(thread_seed);
    Caller caller;
    Caller repeater;
    for (std::uint64_t n = next++; n < count; n = next++) {
      ActionRecord record;
      for (int i = 0; i < 1000 && record.id.empty(); ++i) {
        record.id = IssueId(cluster, caller, random.Below(cluster.node_count()));
        if (record.id.empty()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      if (record.id.empty()) continue;
      std::string text =
          random.Below(50) == 0 ? fmt::format("damask-crash {}", n) : fmt::format("{}", n);
      std::uint64_t key = random.Below(kKeySpaceSize);
      auto send = [&](Caller& from, std::size_t node, int deadline) {
        return VerdictIn(SendAction(cluster, from, node, record.id, text, key, deadline));
      };
      int deadline = 1 + static_cast<int>(random.Below(120));
      std::size_t first = random.Below(cluster.node_count());
      std::size_t second = random.Below(cluster.node_count());
      std::string concurrent = "unused";
      std::thread repeat;
      if (random.Below(4) == 0) {
        repeat = std::thread([&] { concurrent = send(repeater, second, 120); });
      }
      record.verdicts.push_back(send(caller, first, deadline));
      if (repeat.joinable()) {
        repeat.join();
        record.verdicts.push_back(concurrent);
      }
      if (random.Below(4) == 0) record.verdicts.push_back(send(caller, second, 50));
      std::lock_guard lock(mutex);
      records.push_back(std::move(record));
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back(run, seed * 1000 + static_cast<std::uint64_t>(i));
  }
  FaultInjector injector(cluster, seed);
  while (next < count) injector.Step();
  for (std::thread& worker : workers) worker.join();

  // Waits until late answers and calls of paused nodes have ended before the final requests.
  for (std::size_t node = 0; node < cluster.node_count(); ++node) {
    WaitFor([&] { return cluster.AnswersFully(node, "desk"); });
  }
  std::this_thread::sleep_for(2 * options.late_delay);
  ActionTally tally;
  Caller caller;
  Random random(seed);
  for (ActionRecord& record : records) {
    for (int i = 0; i < 10 && record.last.empty(); ++i) {
      std::size_t node = random.Below(cluster.node_count());
      record.last = VerdictIn(SendAction(cluster, caller, node, record.id, "last", 0, 2000));
    }
    tally.Add(cluster, record);
  }
  return tally;
}

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_ACTION_FIXTURE_H_
