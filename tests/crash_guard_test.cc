#include "damaskroute/crashguard/crash_guard.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "tests/scatter_fixture.h"

namespace damaskroute {
namespace {

using std::chrono::minutes;

// Entry nodes in front of one fleet. A backend server that ran a crashing request stays down.
class CrashFleet {
 public:
  CrashFleet(int nodes, int shards) : shards_(shards), fleet_(shards, 3) {
    for (int i = 0; i < nodes; ++i) guards_.push_back(std::make_unique<CrashGuard>(settings_));
  }

  // Runs a request at a node. `reports_delayed` keeps the reports back until `Gossip`.
  CrashMode Run(int node, std::uint64_t fingerprint, bool crashes, bool reports_delayed = false) {
    CrashGuard& guard = *guards_[node];
    CrashMode mode = guard.Check("s", fingerprint, clock.Now());
    if (mode == CrashMode::kBlocked || mode == CrashMode::kWait) return mode;
    QueryRun run(fleet_, mode == CrashMode::kCanary);
    run.Start();
    for (std::uint32_t id = 0; id < run.calls.size(); ++id) {
      if (!run.calls.at(id).open) continue;
      if (crashes) lost.insert(run.calls.at(id).call.backend);
      run.Answer(id, crashes ? ShardOutcome::kConnectionLost : ShardOutcome::kRows);
    }
    for (const ReportCrash& crash : run.crashes) {
      guard.OnCrash("s", fingerprint, crash.backend, crash.boot_id, clock.Now());
      delayed_.push_back({fingerprint, crash});
    }
    if (!reports_delayed) Gossip();
    bool answered = run.result->verdict == Verdict::kRan;
    if (answered) guard.OnSuccess("s", fingerprint, clock.Now());
    if (!answered) guard.OnEnd("s", fingerprint, clock.Now());
    if (!crashes) CHECK(run.result->covered.Covers(kWholeKeySpace));
    return mode;
  }

  void Gossip() {
    for (const auto& [fingerprint, crash] : delayed_) {
      for (int copies = 0; copies < 2; ++copies) {  // Duplicated reports change nothing.
        for (auto& guard : guards_) {
          guard->OnCrash("s", fingerprint, crash.backend, crash.boot_id, clock.Now());
        }
      }
      // The report of the holder takes the backend server out of the view.
      for (int shard = 0; shard < shards_; ++shard) {
        for (int zone = 0; zone < 3; ++zone) {
          if (Fleet::Backend(shard, zone) == crash.backend) fleet_.Report(shard, zone, {1}, 0);
        }
      }
    }
    delayed_.clear();
  }

  ManualClock clock;
  std::set<BackendName> lost;

 private:
  CrashGuardSettings settings_;
  int shards_;
  Fleet fleet_;
  std::vector<std::unique_ptr<CrashGuard>> guards_;
  std::vector<std::pair<std::uint64_t, ReportCrash>> delayed_;
};

TEST_CASE("a crashing request repeated through several nodes takes one replica of each shard") {
  CrashFleet fleet(4, 20);
  for (int repeat = 0; repeat < 40; ++repeat) {
    CrashMode mode = fleet.Run(repeat % 4, 666, true);
    CHECK(mode == (repeat == 0 ? CrashMode::kNormal : CrashMode::kBlocked));
    CrashMode innocent = fleet.Run(repeat % 4, 1000 + repeat % 5, false);
    CHECK(innocent != CrashMode::kBlocked);
    CHECK(innocent != CrashMode::kWait);
  }
  CHECK(fleet.lost.size() == 20);
}

TEST_CASE("other crashing requests take one backend server each while the service is careful") {
  CrashFleet fleet(4, 20);
  fleet.Run(0, 666, true);
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.Run(i % 4, 700 + i, true) == CrashMode::kCanary);
    fleet.Run(i % 4, 1000 + i, false);
  }
  CHECK(fleet.lost.size() == 28);
}

TEST_CASE("after the first canary crash the next one blocks, even at another node") {
  CrashFleet fleet(3, 10);
  fleet.Run(0, 1, true);
  CHECK(fleet.Run(1, 2, true) == CrashMode::kCanary);
  CHECK(fleet.Run(2, 2, true) == CrashMode::kCanary);
  CHECK(fleet.Run(0, 2, true) == CrashMode::kBlocked);
  CHECK(fleet.lost.size() == 12);
  fleet.clock.Advance(minutes(10));
  CHECK(fleet.Run(0, 3, false) == CrashMode::kNormal);
}

TEST_CASE("nodes that have no reports yet lose at most one fan-out each") {
  CrashFleet fleet(3, 10);
  for (int repeat = 0; repeat < 12; ++repeat) fleet.Run(repeat % 3, 666, true, true);
  CHECK(fleet.lost.size() <= 30);
  fleet.Gossip();
  CHECK(fleet.Run(0, 666, true) == CrashMode::kBlocked);
}

TEST_CASE("a success clears a suspect, a single lost backend server blocks nothing") {
  ManualClock clock;
  CrashGuard guard({});
  guard.OnCrash("s", 1, "b", 1, clock.Now());
  guard.OnCrash("s", 1, "b", 1, clock.Now());
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kWait);
  CHECK(guard.Check("s", 2, clock.Now()) == CrashMode::kCanary);
  CHECK(guard.Check("other", 2, clock.Now()) == CrashMode::kNormal);
  guard.OnSuccess("s", 1, clock.Now());
  guard.OnSuccess("s", 2, clock.Now());
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kNormal);
  CHECK(guard.Check("s", 2, clock.Now()) == CrashMode::kNormal);
  guard.OnActionCrash("s", 3, clock.Now());
  CHECK(guard.Check("s", 3, clock.Now()) == CrashMode::kBlocked);
}

TEST_CASE("a flood of suspects costs bounded memory and does not free a blocked request") {
  ManualClock clock;
  CrashGuard guard({.max_suspects = 100});
  guard.OnActionCrash("s", 1, clock.Now());
  for (std::uint64_t i = 2; i < 10'000; ++i) {
    clock.Advance(std::chrono::milliseconds(1));
    guard.OnCrash("s", i, "b", 1, clock.Now());
  }
  CHECK(guard.suspects() <= 100);
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
}

// Guards against a block of ten minutes for a frequent query whose few calls ran in a lost zone.
// One unlucky canary must not block it either, but a request that now crashes every backend server
// takes three more at most.
TEST_CASE("a request that has succeeded is blocked by three crashes of its canary in a row") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnSuccess("s", 1, clock.Now());
  CHECK(guard.HasSucceeded("s", 1));
  guard.OnCrash("s", 1, "b1", 1, clock.Now(), /*after_success=*/true);
  guard.OnCrash("s", 1, "b2", 1, clock.Now(), /*after_success=*/true);
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
  guard.OnEnd("s", 1, clock.Now());
  for (const char* backend : {"b3", "b4"}) {
    guard.OnCrash("s", 1, backend, 1, clock.Now());
    guard.OnCrash("s", 1, backend, 1, clock.Now());  // A repeated report counts once.
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
    guard.OnEnd("s", 1, clock.Now());
  }
  guard.OnCrash("s", 1, "b5", 1, clock.Now());
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
}

// Guards against a frequent query that is blocked for ten minutes because connections break by
// themselves under load.
TEST_CASE("losses that the backend servers outlive block no request") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnSuccess("s", 1, clock.Now());
  for (const char* backend : {"b1", "b2", "b3", "b4"}) {
    guard.OnCrash("s", 1, backend, 1, clock.Now());
  }
  REQUIRE(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
  SUBCASE("one that is refuted leaves too few") {
    guard.OnRefuted("b2", 1, clock.Now());
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
  }
  SUBCASE("all that are refuted leave no suspicion") {
    for (const char* backend : {"b4", "b2", "b1", "b3"}) guard.OnRefuted(backend, 1, clock.Now());
    CHECK(guard.suspects() == 0);
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kNormal);
  }
  SUBCASE("another start of the backend server refutes nothing") {
    guard.OnRefuted("b2", 2, clock.Now());
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
  }
}

TEST_CASE("an action stays blocked when its backend server lives") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnCrash("s", 1, "b", 1, clock.Now());
  guard.OnActionCrash("s", 1, clock.Now());
  guard.OnRefuted("b", 1, clock.Now());
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
}

// Guards against reports that arrive again and in another order and count twice.
TEST_CASE("a start that was lost counts once, whatever comes between its reports") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnSuccess("s", 1, clock.Now());
  for (int repeat = 0; repeat < 4; ++repeat) {
    for (const char* backend : {"b1", "b2", "b3"}) guard.OnCrash("s", 1, backend, 1, clock.Now());
  }
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
}

}  // namespace
}  // namespace damaskroute
