#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <thread>

#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "tests/support/action_fixture.h"

namespace damaskroute {
namespace {

using testing::ActionRecord;
using testing::ActionTally;
using testing::BuildActionCluster;
using testing::Caller;
using testing::Cluster;
using testing::IssueId;
using testing::RunActionFaults;
using testing::SendAction;
using testing::VerdictIn;
using testing::WaitFor;

constexpr std::size_t kNodes = 4;

standins::BackendOptions FastOptions() {
  standins::BackendOptions options;
  options.records = 10;
  options.restart_delay = std::chrono::milliseconds(50);
  options.late_delay = std::chrono::milliseconds(100);
  return options;
}

void ControlAll(Cluster& cluster, const std::string& json) {
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    absl::Status status = cluster.backend(i).Control(json);
    REQUIRE_MESSAGE(status.ok(), json);
  }
}

std::uint64_t TotalStat(Cluster& cluster, std::uint64_t standins::BackendStats::*member) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    total += cluster.backend(i).Stats().*member;
  }
  return total;
}

void StartCluster(Cluster& cluster, const standins::BackendOptions& options) {
  SetLogLevel(LogLevel::kError);
  BuildActionCluster(cluster, options);
  REQUIRE(cluster.Start().ok());
  for (std::size_t node = 0; node < kNodes; ++node) {
    REQUIRE(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
}

void CheckGuarantees(const ActionTally& tally) {
  CHECK(tally.doubled == 0);
  CHECK(tally.lost == 0);
  CHECK(tally.false_not_run == 0);
  CHECK(tally.false_ran == 0);
}

// Sends the action through `first`, repeats it concurrently through all nodes, and repeats it
// through each node after `end_fault`.
ActionRecord RunWithRepeats(Cluster& cluster, std::size_t issuer, std::size_t first,
                            const std::string& text, int deadline_ms,
                            const std::function<void()>& end_fault) {
  ActionRecord record;
  Caller caller;
  record.id = IssueId(cluster, caller, issuer);
  REQUIRE_FALSE(record.id.empty());
  std::vector<std::string> verdicts(kNodes + 1);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i <= kNodes; ++i) {
    threads.emplace_back([&, i] {
      Caller caller_of_thread;
      std::size_t node = i == 0 ? first : i - 1;
      verdicts[i] =
          VerdictIn(SendAction(cluster, caller_of_thread, node, record.id, text, 7, deadline_ms));
    });
  }
  for (std::thread& thread : threads) thread.join();
  record.verdicts = verdicts;
  end_fault();
  for (std::size_t node = 0; node < kNodes; ++node) {
    std::string verdict =
        VerdictIn(SendAction(cluster, caller, node, record.id, text, 7, deadline_ms));
    if (node + 1 == kNodes) {
      record.last = verdict;
    } else {
      record.verdicts.push_back(verdict);
    }
  }
  return record;
}

// Guards against a retry by the transport, against `not_run` for a request that the backend server
// has read, and against a repeated request that starts the action again.
TEST_CASE("an action runs at most once under each fault of the backend servers") {
  struct Row {
    std::string fault;
    std::string expected;  // Verdict of the last repeated request; empty if it depends on timing.
    std::uint64_t runs;
  };
  const Row rows[] = {
      {"", "ran", 1},
      {"shed", "not_run", 0},
      {"reset_before_run", "may_have_run", 0},
      {"reset_after_run", "may_have_run", 1},
      {"no_answer", "may_have_run", 1},
      {"late_answer", "", 1},
      {"wrong_request_id", "may_have_run", 1},
      {"wrong_attempt", "may_have_run", 1},
      {"malformed_json", "", 1},
      {"duplicate_headers", "", 1},
      {"crossed_refusal", "may_have_run", 1},
  };
  Cluster cluster;
  StartCluster(cluster, FastOptions());
  ActionTally tally;
  for (const Row& row : rows) {
    if (!row.fault.empty()) {
      ControlAll(cluster, fmt::format(R"({{"faults":{{"{}":1}}}})", row.fault));
    }
    for (std::size_t issuer = 0; issuer < kNodes; ++issuer) {
      for (std::size_t first = 0; first < kNodes; ++first) {
        std::string text = fmt::format("{} {} {}", row.fault, issuer, first);
        ActionRecord record = RunWithRepeats(cluster, issuer, first, text, 150, [] {});
        INFO(text, ": ", record.last);
        CHECK(testing::TotalRuns(cluster, record.id) <= row.runs);
        for (const std::string& verdict : record.verdicts) CHECK_FALSE(verdict.empty());
        // The replicas may still be avoided after an earlier fault, so `not_run` is allowed.
        if (!row.expected.empty() && record.last != "not_run") CHECK(record.last == row.expected);
        tally.Add(cluster, record);
      }
    }
    if (!row.fault.empty()) {
      ControlAll(cluster, fmt::format(R"({{"faults":{{"{}":0}}}})", row.fault));
    }
    // The replicas recover from the fault, so the next rows are not vacuous.
    REQUIRE(WaitFor([&] {
      return RunWithRepeats(cluster, 0, 1, fmt::format("after {}", row.fault), 500, [] {}).last ==
             "ran";
    }));
  }
  MESSAGE("faults of the backend servers: ", tally.Text());
  CheckGuarantees(tally);
}

// Guards against `may_have_run` if nothing was sent, and against a late run after a refusal.
TEST_CASE("the verdict is correct when no backend server can run an action in time") {
  Cluster cluster;
  standins::BackendOptions options = FastOptions();
  options.slots = 1;
  options.queue_length = 0;
  StartCluster(cluster, options);
  ActionTally tally;
  auto burst = [&](const std::string& name, int deadline_ms) {
    std::vector<ActionRecord> records(24);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < records.size(); ++i) {
      threads.emplace_back([&, i] {
        Caller caller;
        ActionRecord& record = records[i];
        record.id = IssueId(cluster, caller, i % kNodes);
        record.verdicts.push_back(
            VerdictIn(SendAction(cluster, caller, (i / 2) % kNodes, record.id,
                                 fmt::format("{} {}", name, i), 7, deadline_ms)));
      });
    }
    for (std::thread& thread : threads) thread.join();
    return records;
  };
  std::vector<ActionRecord> records;
  auto append = [&](std::vector<ActionRecord> more) {
    records.insert(records.end(), more.begin(), more.end());
  };
  // More concurrent actions than slots and queues hold, with deadlines before, during and after the
  // run.
  ControlAll(cluster, R"({"service_time":"30ms"})");
  for (int deadline : {1, 5, 20, 30, 40, 100, 1000}) {
    append(burst(fmt::format("deadline {}", deadline), deadline));
  }
  ControlAll(cluster, R"({"drain":true})");
  append(burst("draining", 200));
  ControlAll(cluster, R"({"drain":false})");
  ControlAll(cluster, R"({"restart_delay":"300ms","crash":true})");
  append(burst("down", 100));
  std::uint64_t ran = TotalStat(cluster, &standins::BackendStats::ran);
  REQUIRE(WaitFor([&] {
    std::uint64_t before = std::exchange(ran, TotalStat(cluster, &standins::BackendStats::ran));
    return before == ran;
  }));
  Caller caller;
  for (ActionRecord& record : records) {
    for (const std::string& verdict : record.verdicts) CHECK_FALSE(verdict.empty());
    record.last = VerdictIn(SendAction(cluster, caller, 1, record.id, "last", 7, 1000));
    tally.Add(cluster, record);
  }
  MESSAGE("queues, deadlines, drain and crash: ", tally.Text());
  CheckGuarantees(tally);
  CHECK(tally.ran > 0);
  CHECK(tally.not_run > 0);
}

// Guards against repeated requests of a crashing action that take down further backend servers.
TEST_CASE("a crashing action takes down one backend server only") {
  Cluster cluster;
  StartCluster(cluster, FastOptions());
  ActionTally tally;
  ActionRecord record = RunWithRepeats(cluster, 0, 1, "damask-crash", 300, [] {});
  tally.Add(cluster, record);
  for (std::size_t node = 0; node < kNodes; ++node) {
    tally.Add(cluster, RunWithRepeats(cluster, node, node, "damask-crash", 300, [] {}));
  }
  CheckGuarantees(tally);
  CHECK(TotalStat(cluster, &standins::BackendStats::crashes) == 1);
}

// Guards against a second run, or `not_run`, when the issuer has ended or is isolated.
TEST_CASE("an action runs at most once while nodes fail") {
  struct Row {
    const char* name;
    std::function<void(Cluster&, std::size_t issuer)> begin;
    std::function<void(Cluster&, std::size_t issuer)> end;
  };
  auto others = [](std::size_t node) {
    std::vector<std::size_t> rest;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (i != node) rest.push_back(i);
    }
    return rest;
  };
  const Row rows[] = {
      {"issuer killed", [](Cluster& c, std::size_t i) { c.RemoveNode(i); },
       [](Cluster& c, std::size_t i) { REQUIRE(c.StartNode(i).ok()); }},
      {"issuer restarted", [](Cluster& c, std::size_t i) { REQUIRE(c.RestartNode(i).ok()); },
       [](Cluster&, std::size_t) {}},
      {"issuer isolated", [&](Cluster& c, std::size_t i) { c.PartitionNodes({i}, others(i)); },
       [](Cluster& c, std::size_t) { c.Heal(); }},
      {"issuer paused", [](Cluster& c, std::size_t i) { c.node(i).Pause(); },
       [](Cluster& c, std::size_t i) { c.node(i).Resume(); }},
      {"other node killed", [](Cluster& c, std::size_t i) { c.RemoveNode((i + 1) % kNodes); },
       [](Cluster& c, std::size_t i) { REQUIRE(c.StartNode((i + 1) % kNodes).ok()); }},
      {"other node paused", [](Cluster& c, std::size_t i) { c.node((i + 1) % kNodes).Pause(); },
       [](Cluster& c, std::size_t i) { c.node((i + 1) % kNodes).Resume(); }},
  };
  ActionTally tally;
  for (const Row& row : rows) {
    for (std::size_t issuer : {0, 2}) {
      Cluster cluster;
      StartCluster(cluster, FastOptions());
      ControlAll(cluster, R"({"service_time":"60ms"})");
      std::vector<ActionRecord> records(12);
      std::vector<std::thread> threads;
      std::atomic<int> sent{0};
      for (std::size_t i = 0; i < records.size(); ++i) {
        threads.emplace_back([&, i] {
          Caller caller;
          records[i].id = IssueId(cluster, caller, issuer);
          ++sent;
          // The callers continue while the fault begins and ends.
          for (std::size_t k = 0; k < 3; ++k) {
            records[i].verdicts.push_back(
                VerdictIn(SendAction(cluster, caller, (i + k) % kNodes, records[i].id,
                                     fmt::format("{} {}", row.name, i), 7, 200)));
          }
        });
      }
      REQUIRE(WaitFor([&] { return sent == 12; }));
      std::uint64_t base = TotalStat(cluster, &standins::BackendStats::received);
      (void)WaitFor([&] { return TotalStat(cluster, &standins::BackendStats::received) >= base; });
      row.begin(cluster, issuer);
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      row.end(cluster, issuer);
      for (std::thread& thread : threads) thread.join();
      Caller caller;
      for (ActionRecord& record : records) {
        if (record.id.empty()) continue;
        REQUIRE(WaitFor([&] {
          record.last = VerdictIn(SendAction(cluster, caller, 3, record.id, "last", 7, 500));
          return !record.last.empty();
        }));
        tally.Add(cluster, record);
      }
    }
  }
  MESSAGE("failures of nodes: ", tally.Text());
  CheckGuarantees(tally);
}

// Guards against `not_run` for an action that ran through another node, from a node that does not
// know the front yet.
TEST_CASE("a node that does not know the front does not report not_run") {
  Cluster cluster;
  StartCluster(cluster, FastOptions());
  Caller caller;
  std::string id = IssueId(cluster, caller, 0);
  REQUIRE(WaitFor([&] {
    id = IssueId(cluster, caller, 0);
    return VerdictIn(SendAction(cluster, caller, 0, id, "a", 7, 1000)) == "ran";
  }));
  std::string body = fmt::format(R"({{"action_id":"{}","action":{{"text":"a"}},"key":7}})", id);
  for (std::size_t node = 0; node < kNodes; ++node) {
    std::string verdict =
        VerdictIn(caller.Post(cluster.settings(node).callers, "/v1/fronts/unknown/actions", body));
    CHECK(verdict == (node == 0 ? "ran" : "may_have_run"));
  }
}

TEST_CASE("actions run at most once under random faults") {
  SetLogLevel(LogLevel::kError);
  for (std::uint64_t seed : {1, 2}) {
    ActionTally tally = RunActionFaults(1500, seed, 12);
    MESSAGE("random faults, seed ", seed, ": ", tally.Text());
    CHECK(tally.actions == 1500);
    CheckGuarantees(tally);
  }
}

}  // namespace
}  // namespace damaskroute
