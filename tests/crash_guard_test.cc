#include "damaskroute/crashguard/crash_guard.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/scatter_fixture.h"

namespace damaskroute {
namespace {

using std::chrono::minutes;

// Several entry nodes and one fleet of backend servers. A backend server that ran a crashing
// request stays down.
class CrashSimulation {
 public:
  CrashSimulation(int nodes, int shards) : shards_(shards), fleet_(shards, 3) {
    for (int i = 0; i < nodes; ++i) guards_.push_back(std::make_unique<CrashGuard>(settings_));
  }

  // Runs a request at a node. With `reports_delayed`, peers receive the reports on
  // `DeliverReports`.
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
    if (!reports_delayed) DeliverReports();
    bool answered = run.result->verdict == Verdict::kRan;
    if (answered) guard.OnSuccess("s", fingerprint, clock.Now());
    if (!answered) guard.OnEnd("s", fingerprint, clock.Now());
    if (!crashes) CHECK(run.result->covered.Covers(kWholeKeySpace));
    return mode;
  }

  void DeliverReports() {
    for (const auto& [fingerprint, crash] : delayed_) {
      for (int delivery = 0; delivery < 2; ++delivery) {  // Duplicated reports have no effect.
        for (auto& guard : guards_) {
          guard->OnCrash("s", fingerprint, crash.backend, crash.boot_id, clock.Now());
        }
      }
      // The report of the holder removes the backend server from the view.
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

TEST_CASE(
    "a crashing request repeated through several nodes takes down one replica of each shard") {
  CrashSimulation fleet(4, 20);
  for (int repeat = 0; repeat < 40; ++repeat) {
    CrashMode mode = fleet.Run(repeat % 4, 666, true);
    CHECK(mode == (repeat == 0 ? CrashMode::kNormal : CrashMode::kBlocked));
    CrashMode harmless = fleet.Run(repeat % 4, 1000 + repeat % 5, false);
    CHECK(harmless != CrashMode::kBlocked);
    CHECK(harmless != CrashMode::kWait);
  }
  CHECK(fleet.lost.size() == 20);
}

TEST_CASE(
    "other crashing requests take down one backend server each while requests run as canaries") {
  CrashSimulation fleet(4, 20);
  fleet.Run(0, 666, true);
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.Run(i % 4, 700 + i, true) == CrashMode::kCanary);
    fleet.Run(i % 4, 1000 + i, false);
  }
  CHECK(fleet.lost.size() == 28);
}

TEST_CASE("the second crash of a canary blocks the request, even at another node") {
  CrashSimulation fleet(3, 10);
  fleet.Run(0, 1, true);
  CHECK(fleet.Run(1, 2, true) == CrashMode::kCanary);
  CHECK(fleet.Run(2, 2, true) == CrashMode::kCanary);
  CHECK(fleet.Run(0, 2, true) == CrashMode::kBlocked);
  CHECK(fleet.lost.size() == 12);
  fleet.clock.Advance(minutes(10));
  CHECK(fleet.Run(0, 3, false) == CrashMode::kNormal);
}

TEST_CASE("nodes without reports of their peers lose at most one fan-out each") {
  CrashSimulation fleet(3, 10);
  for (int repeat = 0; repeat < 12; ++repeat) fleet.Run(repeat % 3, 666, true, true);
  CHECK(fleet.lost.size() <= 30);
  fleet.DeliverReports();
  CHECK(fleet.Run(0, 666, true) == CrashMode::kBlocked);
}

TEST_CASE("a success clears a suspect, and a single crash does not block a request") {
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

TEST_CASE("the number of suspects is bounded, and blocked requests are evicted last") {
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

// Guards against blocking a frequent query with a small fan-out for ten minutes after all of its
// calls ran in an unreachable zone. One failed canary must not block it either, but a request that
// now crashes every backend server takes down at most three more.
TEST_CASE("a request that has succeeded is blocked by three consecutive canary crashes") {
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

// Guards against blocking a frequent query for ten minutes because connections break under load
// without a crash.
TEST_CASE("connection losses that the backend servers survive block no request") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnSuccess("s", 1, clock.Now());
  for (const char* backend : {"b1", "b2", "b3", "b4"}) {
    guard.OnCrash("s", 1, backend, 1, clock.Now());
  }
  REQUIRE(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
  SUBCASE("one refuted loss leaves too few to block") {
    guard.OnRefuted("b2", 1, clock.Now());
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
  }
  SUBCASE("refuting all losses clears the suspicion") {
    for (const char* backend : {"b4", "b2", "b1", "b3"}) guard.OnRefuted(backend, 1, clock.Now());
    CHECK(guard.suspects() == 0);
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kNormal);
  }
  SUBCASE("another incarnation of the backend server refutes nothing") {
    guard.OnRefuted("b2", 2, clock.Now());
    CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
  }
}

TEST_CASE("an action stays blocked if its backend server survives") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnCrash("s", 1, "b", 1, clock.Now());
  guard.OnActionCrash("s", 1, clock.Now());
  guard.OnRefuted("b", 1, clock.Now());
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kBlocked);
}

// Guards against duplicated and reordered reports that count twice.
TEST_CASE("a lost incarnation counts once, in any order of reports") {
  ManualClock clock;
  CrashGuard guard{CrashGuardSettings{}};
  guard.OnSuccess("s", 1, clock.Now());
  for (int repeat = 0; repeat < 4; ++repeat) {
    for (const char* backend : {"b1", "b2", "b3"}) guard.OnCrash("s", 1, backend, 1, clock.Now());
  }
  CHECK(guard.Check("s", 1, clock.Now()) == CrashMode::kCanary);
}

// Settings under which a lost connection weighs less than a server that crashed.
CrashGuardSettings SuccessiveLosses() {
  CrashGuardSettings settings;
  settings.crashes_to_suspect = 2;
  settings.crashes_to_block = 3;
  settings.crashes_to_block_known_good = 3;
  settings.only_successive_losses_block = true;
  settings.canaries_after_crash = false;
  return settings;
}

struct LossFixture {
  explicit LossFixture(const CrashGuardSettings& settings = SuccessiveLosses()) : guard(settings) {}

  // A call that begins after a while and takes a second is lost.
  void Lose(std::uint64_t incarnation) {
    clock.Advance(CrashRecord::kCommonCauseTime);
    TimePoint sent = clock.Now();
    clock.Advance(std::chrono::seconds(1));
    guard.OnLoss("", 1, {++id, incarnation, sent, clock.Now()});
  }
  CrashMode Check() { return guard.Check("", 1, clock.Now()); }

  ManualClock clock;
  CrashGuard guard;
  std::uint64_t id = 0;
};

TEST_CASE("three successive losses block a request, and others run as before") {
  LossFixture f;
  f.Lose(1);
  CHECK(f.Check() == CrashMode::kNormal);
  f.Lose(2);
  CHECK(f.Check() == CrashMode::kCanary);
  f.Lose(3);
  CHECK(f.Check() == CrashMode::kBlocked);
  CHECK(f.guard.BlockedFor("", 1, f.clock.Now()) == minutes(10));
  CHECK(f.guard.Check("", 2, f.clock.Now()) == CrashMode::kNormal);
}

TEST_CASE("servers that are lost at the same time do not block a request") {
  LossFixture f;
  TimePoint sent = f.clock.Now();
  f.clock.Advance(std::chrono::seconds(1));
  for (std::uint64_t server = 1; server <= 9; ++server) {
    f.guard.OnLoss("", 1, {server, server, sent, f.clock.Now()});
  }
  CHECK(f.Check() == CrashMode::kCanary);
  f.guard.OnSuccess("", 1, f.clock.Now());
  CHECK(f.Check() == CrashMode::kNormal);
}

// Guards against retries of a query that crash more servers, because they follow each other so fast
// that they count as one loss.
TEST_CASE("two successive losses, of three servers in all, block a request briefly") {
  CrashGuardSettings settings = SuccessiveLosses();
  settings.successive_losses_to_block_briefly = 2;
  LossFixture f(settings);
  f.Lose(1);
  f.Lose(2);
  CHECK(f.Check() == CrashMode::kCanary);
  f.guard.OnEnd("", 1, f.clock.Now());
  TimePoint sent = f.clock.Now() - std::chrono::seconds(1);
  f.guard.OnLoss("", 1, {++f.id, 3, sent, f.clock.Now()});
  CHECK(f.Check() == CrashMode::kBlocked);
  CHECK(f.guard.BlockedFor("", 1, f.clock.Now()) == settings.short_block);
  f.clock.Advance(settings.short_block);
  SUBCASE("it crashes another server") {
    CHECK(f.Check() == CrashMode::kCanary);
    f.Lose(4);
    CHECK(f.guard.BlockedFor("", 1, f.clock.Now()) == minutes(10));
  }
  SUBCASE("it is harmless") {
    CHECK(f.Check() == CrashMode::kCanary);
    f.guard.OnSuccess("", 1, f.clock.Now());
    CHECK(f.Check() == CrashMode::kNormal);
  }
}

// Guards against a block that ends at all nodes at once. The callers that were told its end came
// back together, and each of four nodes let the request crash another server.
TEST_CASE("after a block, the nodes try a request one after the other") {
  CrashGuardSettings settings = SuccessiveLosses();
  settings.successive_losses_to_block_briefly = 2;
  constexpr std::chrono::milliseconds kRetryInterval{400};
  constexpr int kMaxRetries = 3;  // Once three servers have crashed.
  for (std::size_t nodes : {4, 12, 118}) {
    std::vector<NodeName> names;
    for (std::size_t i = 0; i < nodes; ++i) names.push_back("node-" + std::to_string(i));
    for (std::uint64_t request = 1; request <= 50; ++request) {
      ManualClock clock;
      clock.Advance(minutes(1));
      std::vector<std::unique_ptr<CrashGuard>> guards;
      for (const NodeName& name : names) {
        guards.push_back(std::make_unique<CrashGuard>(settings));
        guards.back()->SetNodes(name, names);
      }
      std::uint64_t id = 0;
      auto lose = [&](CrashGuard& guard, TimePoint sent, std::uint64_t server) {
        guard.OnLoss("", request, {server, server, sent, clock.Now()});
      };
      TimePoint first = clock.Now();
      clock.Advance(std::chrono::milliseconds(50));
      for (std::uint64_t server : {1, 2}) lose(*guards[0], first, server);
      clock.Advance(CrashRecord::kCommonCauseTime);
      TimePoint second = clock.Now();
      clock.Advance(std::chrono::milliseconds(50));
      lose(*guards[0], second, 3);
      for (auto& guard : guards)
        guard->Merge(guards[0]->Records(1, clock.Now()).at(0), clock.Now());
      // Every caller repeats the request at another node; a loss reaches the others before the next
      // repeats.
      int tries = 0;
      for (int repeat = 0; repeat < 60; ++repeat) {
        clock.Advance(kRetryInterval);
        std::vector<CrashGuard*> tried;
        for (std::size_t i = 0; i < 4; ++i) {
          CrashGuard& guard = *guards[(i + static_cast<std::size_t>(repeat)) % nodes];
          if (guard.Check("", request, clock.Now()) == CrashMode::kCanary) tried.push_back(&guard);
        }
        TimePoint sent = clock.Now();
        clock.Advance(std::chrono::milliseconds(50));
        for (CrashGuard* guard : tried) {
          ++tries;
          lose(*guard, sent, 100 + ++id);
          guard->OnEnd("", request, clock.Now());
          auto record = guard->RecordOf("", request);
          for (auto& other : guards) other->Merge(*record, clock.Now());
        }
      }
      CHECK(tries >= 1);  // A harmless request would be served again.
      CHECK(tries <= kMaxRetries);
    }
  }
}

// Guards against a server that crashes again and again under one name, while the store that would
// tell the incarnations apart is away.
TEST_CASE("losses of one incarnation at different times block a request") {
  LossFixture f;
  for (std::uint64_t server : {1, 2, 1}) f.Lose(server);
  CHECK(f.Check() == CrashMode::kBlocked);
}

// Guards against a harmless request that is refused forever, and against one that crashes two
// servers each time that it is no longer refused.
TEST_CASE("a blocked request is tried as a canary after the suspicion period") {
  LossFixture f;
  for (std::uint64_t server = 1; server <= 3; ++server) f.Lose(server);
  f.clock.Advance(minutes(10));
  REQUIRE(f.Check() == CrashMode::kCanary);
  SUBCASE("it crashes another server") {
    f.Lose(4);
    CHECK(f.Check() == CrashMode::kBlocked);
  }
  SUBCASE("it is harmless") {
    f.guard.OnSuccess("", 1, f.clock.Now());
    CHECK(f.Check() == CrashMode::kNormal);
  }
  SUBCASE("it does not come") {
    f.clock.Advance(minutes(10));
    CHECK(f.Check() == CrashMode::kNormal);
  }
}

TEST_CASE("an answer of the same incarnation refutes a crash, unless it may be of its successor") {
  LossFixture f;
  for (std::uint64_t server = 1; server <= 3; ++server) f.Lose(server);
  REQUIRE(f.Check() == CrashMode::kBlocked);
  SUBCASE("before the loss") {
    f.guard.OnAnswer(3, f.clock.Now() - std::chrono::milliseconds(1), f.clock.Now());
    CHECK(f.Check() == CrashMode::kBlocked);
  }
  SUBCASE("right after the loss") {
    f.guard.OnAnswer(3, f.clock.Now(), f.clock.Now());
    CHECK(f.Check() == CrashMode::kCanary);
  }
  SUBCASE("when a successor may have started under the same name") {
    f.clock.Advance(std::chrono::seconds(2));
    f.guard.OnAnswer(3, f.clock.Now(), f.clock.Now());
    CHECK(f.Check() == CrashMode::kBlocked);
  }
  SUBCASE("right after another loss of the same name") {
    f.clock.Advance(std::chrono::seconds(2));
    f.guard.OnLoss("", 2, {3, 3, f.clock.Now(), f.clock.Now()});
    f.guard.OnAnswer(3, f.clock.Now(), f.clock.Now());
    CHECK(f.Check() == CrashMode::kBlocked);
  }
  SUBCASE("when a successor would be known") {
    f.clock.Advance(std::chrono::seconds(11));
    f.guard.OnAnswer(3, f.clock.Now(), f.clock.Now());
    CHECK(f.Check() == CrashMode::kCanary);
  }
}

}  // namespace
}  // namespace damaskroute
