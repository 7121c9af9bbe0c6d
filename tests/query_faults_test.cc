#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "tests/support/caller.h"
#include "tests/support/cluster.h"

namespace damaskroute {
namespace {

using testing::Caller;
using testing::Cluster;
using testing::HttpCallResult;
using testing::WaitFor;

constexpr std::uint64_t kMiddle = kKeySpaceSize / 2;
constexpr KeyRange kLow{0, kMiddle};
constexpr KeyRange kHigh{kMiddle, kKeySpaceSize};
constexpr std::size_t kNodes = 4;

// Parsed body of an answer with status 200.
struct Answer {
  std::string request_id;
  IndexVersion version = 0;
  std::set<IndexVersion> row_versions;
  std::vector<std::uint64_t> keys;
  std::vector<std::string> genera;
  KeyRangeSet missing;
  double fraction = 0;
};

Answer Parse(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.c_str(), body.size());
  REQUIRE_MESSAGE(!document.HasParseError(), body);
  Answer answer;
  answer.request_id = document["request_id"].GetString();
  answer.version = document["index_version"].GetUint64();
  answer.fraction = document["coverage"]["fraction"].GetDouble();
  for (const auto& range : document["coverage"]["missing"].GetArray()) {
    answer.missing.Add({range[0].GetUint64(), range[1].GetUint64()});
  }
  for (const auto& row : document["rows"].GetArray()) {
    answer.keys.push_back(row["key"].GetUint64());
    answer.genera.emplace_back(row["genus"].GetString());
    answer.row_versions.insert(row["index"].GetUint64());
  }
  return answer;
}

bool Contains(const KeyRangeSet& set, std::uint64_t key) {
  for (const KeyRange& range : set.ranges()) {
    if (key >= range.low && key < range.high) return true;
  }
  return false;
}

// Key and genus of each row, from a complete answer before any fault.
std::map<std::uint64_t, std::string> AllRows(Cluster& cluster) {
  HttpCallResult result = cluster.Query(0, "desk", R"({"query":{}})");
  REQUIRE(result.status == 200);
  Answer answer = Parse(result.body);
  REQUIRE(answer.missing.ranges().empty());
  std::map<std::uint64_t, std::string> rows;
  for (std::size_t i = 0; i < answer.keys.size(); ++i) rows[answer.keys[i]] = answer.genera[i];
  return rows;
}

// Checks that the answer has one version, each row once, and exactly the rows of the ranges that
// are not listed as missing.
void CheckAnswer(const Answer& answer, const std::map<std::uint64_t, std::string>& rows,
                 const std::string& genus) {
  CHECK(answer.row_versions.size() <= 1);
  if (!answer.row_versions.empty()) CHECK(*answer.row_versions.begin() == answer.version);
  std::multiset<std::uint64_t> expected;
  for (const auto& [key, row_genus] : rows) {
    if ((genus.empty() || genus == row_genus) && !Contains(answer.missing, key)) {
      expected.insert(key);
    }
  }
  CHECK(std::multiset<std::uint64_t>(answer.keys.begin(), answer.keys.end()) == expected);
  double covered = 1 - static_cast<double>(answer.missing.Size()) / kKeySpaceSize;
  CHECK(answer.fraction == doctest::Approx(covered));
}

// Four nodes in three zones; each half of the index has a replica in each zone.
void StartCluster(Cluster& cluster, standins::BackendOptions options = {}) {
  SetLogLevel(LogLevel::kError);
  options.records = 200;
  for (const char* zone : {"a", "b", "c"}) cluster.AddZone(zone);
  cluster.AddNode("node-a", "a");
  cluster.AddNode("node-b", "b");
  cluster.AddNode("node-c", "c");
  cluster.AddNode("node-d", "a");
  for (const std::string zone : {"a", "b", "c"}) {
    cluster.AddBackend(zone + "-low", zone, {{1, {kLow}}}, options);
    cluster.AddBackend(zone + "-high", zone, {{1, {kHigh}}}, options);
  }
  cluster.AddService("desk");
  REQUIRE(cluster.Start().ok());
  for (std::size_t node = 0; node < kNodes; ++node) {
    REQUIRE(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
}

// Sends queries on several threads until it is stopped, at most `kMaxQueries`. `Stop` returns the
// answers, because doctest requires checks on the main thread.
class Load {
 public:
  static constexpr int kMaxQueries = 4000;

  struct Outcome {
    std::string request_id;
    std::string genus;
    HttpCallResult result;
  };

  explicit Load(Cluster& cluster) {
    for (int i = 0; i < 6; ++i) {
      threads_.emplace_back([this, &cluster, i] { Run(cluster, i); });
    }
  }
  ~Load() { (void)Stop(); }

  std::vector<Outcome> Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return std::exchange(outcomes_, {});
  }

  int count() const { return count_; }

 private:
  void Run(Cluster& cluster, int thread) {
    static constexpr std::array kGenera = {"", "Solanum", "Zea", "Lupinus"};
    Caller caller;
    for (int n = 0; !stop_ && count_++ < kMaxQueries; ++n) {
      Outcome outcome;
      outcome.request_id = fmt::format("q-{}-{}", thread, n);
      outcome.genus = kGenera[static_cast<std::size_t>(thread + n) % kGenera.size()];
      std::string query =
          outcome.genus.empty() ? "{}" : fmt::format(R"({{"genus":"{}"}})", outcome.genus);
      std::size_t node = static_cast<std::size_t>(thread + n / 4) % kNodes;
      outcome.result =
          caller.Post(cluster.settings(node).callers, "/v1/fronts/desk/query",
                      fmt::format(R"({{"query":{},"request_id":"{}","deadline_ms":500}})", query,
                                  outcome.request_id));
      std::lock_guard lock(mutex_);
      outcomes_.push_back(std::move(outcome));
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> count_{0};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::thread> threads_;
};

struct LoadTally {
  int full = 0;
  int partial = 0;
  int failed = 0;
};

LoadTally CheckAll(const std::vector<Load::Outcome>& outcomes,
                   const std::map<std::uint64_t, std::string>& rows) {
  LoadTally tally;
  for (const Load::Outcome& outcome : outcomes) {
    INFO(outcome.request_id, " ", outcome.genus);
    if (outcome.result.status != 200) {
      ++tally.failed;
      continue;
    }
    Answer answer = Parse(outcome.result.body);
    CHECK(answer.request_id == outcome.request_id);
    CheckAnswer(answer, rows, outcome.genus);
    ++(answer.missing.ranges().empty() ? tally.full : tally.partial);
  }
  return tally;
}

std::uint64_t ReceivedCalls(Cluster& cluster) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    total += cluster.backend(i).Stats().received;
  }
  return total;
}

std::uint64_t DecidedCalls(Cluster& cluster) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (!cluster.runs(i)) continue;
    const FrontMetrics& metrics = *cluster.node(i).view()->fronts.at("desk");
    total += metrics.first_calls + metrics.hedges + metrics.retries;
  }
  return total;
}

std::uint64_t Crashes(Cluster& cluster) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    total += cluster.backend(i).Stats().crashes;
  }
  return total;
}

void ControlAll(Cluster& cluster, const std::string& json) {
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    REQUIRE(cluster.backend(i).Control(json).ok());
  }
}

// Guards against answers that mix two versions, or claim ranges that they do not contain, while the
// shard boundary moves and old versions are retired.
TEST_CASE("each answer comes from one version while the index is repartitioned") {
  Cluster cluster;
  StartCluster(cluster);
  auto rows = AllRows(cluster);
  Load load(cluster);
  for (IndexVersion version = 2; version <= 7; ++version) {
    std::uint64_t middle = kMiddle / 8 * (4 + version);
    for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
      KeyRange held = i % 2 == 0 ? KeyRange{0, middle} : KeyRange{middle, kKeySpaceSize};
      REQUIRE(cluster.backend(i)
                  .Control(fmt::format(R"({{"publish":{{"version":{},"ranges":["{}"]}}}})", version,
                                       FormatKeyRange(held)))
                  .ok());
    }
    // The first ones retire the old version at once, while most queries still request it.
    for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
      REQUIRE(cluster.backend(i).Control(fmt::format(R"({{"retire":{}}})", version - 1)).ok());
    }
    std::string expected = fmt::format("\"index_version\":{}", version);
    for (std::size_t node = 0; node < kNodes; ++node) {
      REQUIRE(WaitFor([&] {
        HttpCallResult result = cluster.Query(node, "desk", R"({"query":{}})");
        return result.body.find(expected) != std::string::npos &&
               result.body.find("\"partial\":false") != std::string::npos;
      }));
    }
  }
  auto outcomes = load.Stop();
  LoadTally tally = CheckAll(outcomes, rows);
  MESSAGE("repartitioning: ", outcomes.size(), " queries, ", tally.full, " full, ", tally.partial,
          " partial, ", tally.failed, " failed");
  CHECK(tally.full > 0);
}

// Guards against rows of another query or shard, against duplicate rows, and against requests that
// a client library or a holder retries without a decision of the coordinator.
TEST_CASE("each caller gets the answer to its own query when shard answers are wrong or late") {
  standins::BackendOptions options;
  options.late_delay = std::chrono::milliseconds(60);
  Cluster cluster;
  StartCluster(cluster, options);
  auto rows = AllRows(cluster);
  std::uint64_t received = ReceivedCalls(cluster);
  std::uint64_t decided = DecidedCalls(cluster);
  std::size_t queries = 0;
  for (const char* fault : {"late_answer", "wrong_request_id", "wrong_attempt", "wrong_version",
                            "wrong_range", "duplicate_headers", "crossed_refusal", "malformed_json",
                            "no_answer", "shed", "reset_after_run", "reset_before_run"}) {
    ControlAll(cluster, fmt::format(R"({{"faults":{{"{}":0.2}}}})", fault));
    Load load(cluster);
    REQUIRE(WaitFor([&] { return load.count() >= 150; }));
    auto outcomes = load.Stop();
    LoadTally tally = CheckAll(outcomes, rows);
    queries += outcomes.size();
    MESSAGE(std::string(fault), ": ", outcomes.size(), " queries, ", tally.full, " full, ",
            tally.partial, " partial, ", tally.failed, " failed");
    CHECK(tally.full > 0);
    ControlAll(cluster, fmt::format(R"({{"faults":{{"{}":0}}}})", fault));
  }
  std::uint64_t on_wire = ReceivedCalls(cluster) - received;
  std::uint64_t decided_calls = DecidedCalls(cluster) - decided;
  MESSAGE(queries, " queries: ", on_wire, " requests on the wire, ", decided_calls, " decided");
  CHECK(on_wire <= decided_calls);
  for (std::size_t node = 0; node < kNodes; ++node) {
    CHECK(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
}

// Guards against calls that still go to lost replicas while replicas elsewhere are idle.
TEST_CASE("full coverage comes back after replicas, a node or a zone are lost") {
  standins::BackendOptions options;
  options.restart_delay = std::chrono::hours(1);
  Cluster cluster;
  StartCluster(cluster, options);
  auto rows = AllRows(cluster);
  std::vector<std::size_t> live = {0, 1, 2, 3};
  auto recovers = [&] {
    for (std::size_t node : live) {
      bool full = WaitFor([&] {
        for (int i = 0; i < 20; ++i) {
          if (!cluster.AnswersFully(node, "desk")) return false;
        }
        return true;
      });
      INFO("node ", node);
      CHECK(full);
    }
  };
  Load load(cluster);
  REQUIRE(cluster.backend(0).Control(R"({"crash":true})").ok());  // a-low
  REQUIRE(cluster.backend(3).Control(R"({"crash":true})").ok());  // b-high
  recovers();
  (void)CheckAll(load.Stop(), rows);
  cluster.RemoveNode(3);
  live = {0, 1, 2};
  recovers();
  REQUIRE(cluster.backend(1).Control(R"({"crash":true})").ok());  // The rest of zone a.
  recovers();
}

// Guards against a frequent query that is blocked as crashing because all of its few calls ran in
// the zone that was lost.
TEST_CASE("a zone lost under load blocks no query") {
  standins::BackendOptions options;
  options.restart_delay = std::chrono::hours(1);
  options.service_time = std::chrono::milliseconds(20);
  Cluster cluster;
  StartCluster(cluster, options);
  auto rows = AllRows(cluster);
  Load load(cluster);
  REQUIRE(WaitFor([&] { return load.count() >= 60; }));
  for (std::size_t i : {0, 1}) REQUIRE(cluster.backend(i).Control(R"({"crash":true})").ok());
  int before = load.count();
  REQUIRE(WaitFor([&] { return load.count() >= before + 100; }));
  auto outcomes = load.Stop();
  int blocked = 0;
  for (const Load::Outcome& outcome : outcomes) {
    // With `may_have_run` the query itself lost all its calls and was aborted, not refused.
    if (outcome.result.status == 422 &&
        outcome.result.body.find("\"verdict\":\"not_run\"") != std::string::npos) {
      ++blocked;
    }
  }
  LoadTally tally = CheckAll(outcomes, rows);
  MESSAGE("zone lost under load: ", outcomes.size(), " queries, ", tally.full, " full, ",
          tally.partial, " partial, ", tally.failed, " failed, ", blocked, " blocked");
  CHECK(blocked == 0);
  for (std::size_t node = 0; node < kNodes; ++node) {
    for (const char* genus : {"Solanum", "Zea", "Lupinus"}) {
      CHECK(WaitFor([&] {
        HttpCallResult result =
            cluster.Query(node, "desk", fmt::format(R"({{"query":{{"genus":"{}"}}}})", genus));
        return result.body.find("\"partial\":false") != std::string::npos;
      }));
    }
    CHECK(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
}

// Guards against an answer that omits a missing range or lists a range that is not missing.
TEST_CASE("exactly the range of a shard without replicas is listed as missing") {
  standins::BackendOptions options;
  options.restart_delay = std::chrono::hours(1);
  Cluster cluster;
  StartCluster(cluster, options);
  auto rows = AllRows(cluster);
  for (std::size_t i : {1, 3, 5}) REQUIRE(cluster.backend(i).Control(R"({"crash":true})").ok());
  for (std::size_t node = 0; node < kNodes; ++node) {
    Answer answer;
    REQUIRE(WaitFor([&] {
      HttpCallResult result = cluster.Query(node, "desk", R"({"query":{"genus":"Zea"}})");
      if (result.status != 200) return false;
      answer = Parse(result.body);
      return true;
    }));
    REQUIRE(answer.missing.ranges().size() == 1);
    CHECK(answer.missing.ranges().front() == kHigh);
    CHECK(answer.fraction == doctest::Approx(0.5));
    CheckAnswer(answer, rows, "Zea");
  }
}

// Guards against a caller that crashes all replicas by repeating one crashing query.
TEST_CASE(
    "a crashing query crashes a bounded number of backend servers, and the others stay available") {
  standins::BackendOptions options;
  options.restart_delay = std::chrono::milliseconds(300);
  Cluster cluster;
  StartCluster(cluster, options);
  for (int i = 0; i < 40; ++i) {
    (void)cluster.Query(static_cast<std::size_t>(i) % kNodes, "desk",
                        R"({"query":{"text":"damask-crash"},"deadline_ms":1000})");
  }
  std::uint64_t repeated = Crashes(cluster);
  MESSAGE("40 repeats of one query: ", repeated, " crashes");
  // One per shard, and as many through a node that had not received the crash report.
  CHECK(repeated <= 4);
  for (std::size_t node = 0; node < kNodes; ++node) {
    CHECK(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
  for (int i = 0; i < 10; ++i) {
    (void)cluster.Query(
        static_cast<std::size_t>(i) % kNodes, "desk",
        fmt::format(R"({{"query":{{"text":"damask-crash {}"}},"deadline_ms":1000}})", i));
  }
  std::uint64_t different = Crashes(cluster) - repeated;
  MESSAGE("10 different queries: ", different, " crashes");
  CHECK(different <= 10);
  for (std::size_t node = 0; node < kNodes; ++node) {
    CHECK(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
}

}  // namespace
}  // namespace damaskroute
