#include "damaskroute/scatter/scatter_gather.h"

#include <doctest/doctest.h>

#include <functional>

#include "tests/scatter_fixture.h"

namespace damaskroute {
namespace {

using O = ShardOutcome;

TEST_CASE("each range is requested once, so overlapping shards are not counted twice") {
  Fleet fleet(4, 3);
  QueryRun run(fleet);
  run.Start();
  REQUIRE(run.calls.size() == 4);
  KeyRangeSet requested;
  std::uint64_t sum = 0;
  for (auto& [id, sent] : run.calls) {
    requested.Add(sent.call.range);
    sum += sent.call.range.Size();
  }
  CHECK(requested.Size() == kKeySpaceSize);
  CHECK(sum == kKeySpaceSize);
  run.AnswerAll();
  REQUIRE(run.result.has_value());
  CHECK(run.result->verdict == Verdict::kRan);
  CHECK(run.result->covered.Covers(kWholeKeySpace));
  CHECK(run.result->rows.size() == 4);
  CHECK(run.result->first_calls == 4);
}

TEST_CASE("a failed call is retried only if its outcome allows it, and the answer is correct") {
  struct Case {
    const char* name;
    O outcome;
    bool retried;
    bool other_answers_first;
  };
  for (const Case& c :
       {Case{"shed", O::kShed, true, false}, Case{"share", O::kNoShare, true, false},
        Case{"refused", O::kConnectFailed, true, false}, Case{"gone", O::kVersionGone, true, false},
        Case{"bad", O::kBadAnswer, true, false},
        Case{"broken before any rows", O::kConnectionLost, false, false},
        Case{"broken after rows", O::kConnectionLost, true, true}}) {
    CAPTURE(c.name);
    Fleet fleet(2, 2);
    QueryRun run(fleet);
    run.Start();
    if (c.other_answers_first) run.Answer(1);
    run.Answer(0, c.outcome);
    CHECK((run.calls.size() == 3) == c.retried);
    CHECK(run.crashes.empty());
    if (c.retried) CHECK(run.calls.at(2).call.attempt == 1);
    if (c.retried) CHECK(run.calls.at(2).call.backend != run.calls.at(0).call.backend);
    run.AnswerAll();
    REQUIRE(run.result.has_value());
    CHECK(run.result->covered.Covers(kWholeKeySpace));
    CHECK_FALSE(run.result->blocked);
  }
}

TEST_CASE("a query that breaks every connection takes down only one replica of each shard") {
  Fleet fleet(5, 2);
  QueryRun run(fleet);
  run.Start();
  run.AnswerAll(O::kConnectionLost);
  CHECK(run.calls.size() == 5);
  CHECK(run.crashes.size() == 5);
  REQUIRE(run.result.has_value());
  CHECK(run.result->blocked);
  CHECK(run.result->verdict == Verdict::kMayHaveRun);

  SUBCASE("in canary mode it takes down one backend server") {
    QueryRun canary(fleet, true);
    canary.Start();
    CHECK(canary.calls.size() == 1);
    canary.AnswerAll(O::kConnectionLost);
    CHECK(canary.calls.size() == 1);
    REQUIRE(canary.result.has_value());
    CHECK(canary.result->blocked);
  }
  SUBCASE("a harmless query in canary mode is answered completely, even after a refusal") {
    QueryRun canary(fleet, true);
    canary.Start();
    canary.Answer(0, O::kShed);
    CHECK(canary.calls.size() == 2);
    canary.AnswerAll();
    CHECK(canary.calls.size() == 6);
    REQUIRE(canary.result.has_value());
    CHECK(canary.result->covered.Covers(kWholeKeySpace));
  }
}

// Guards against a query that fails with an unreachable zone although other replicas are available.
TEST_CASE("a query that succeeded before retries one call when all connections are lost") {
  Fleet fleet(3, 2);
  QueryRun run(fleet, /*canary=*/false, {}, /*known_good=*/true);
  run.Start();
  for (std::uint32_t id = 0; id < 3; ++id) run.Answer(id, O::kConnectionLost);
  REQUIRE(run.calls.size() == 4);
  CHECK_FALSE(run.result.has_value());
  SUBCASE("rows resume the other parts") {
    run.AnswerAll();
    REQUIRE(run.result.has_value());
    CHECK(run.result->covered.Covers(kWholeKeySpace));
    CHECK(run.calls.size() == 6);
    CHECK_FALSE(run.result->blocked);
  }
  SUBCASE("a query that started to crash backend servers takes down one more") {
    run.Answer(3, O::kConnectionLost);
    CHECK(run.calls.size() == 4);
    REQUIRE(run.result.has_value());
    CHECK(run.result->blocked);
    CHECK(run.crashes.size() == 4);
  }
}

TEST_CASE(
    "an unreachable zone does not make a harmless query suspect; abandoned crashes are reported") {
  Fleet fleet(9, 3);
  QueryRun run(fleet);
  run.Start();
  for (std::uint32_t id = 0; id < 3; ++id) run.Answer(id, O::kConnectionLost);
  SUBCASE("rows follow") {
    run.AnswerAll();
    REQUIRE(run.result.has_value());
    CHECK(run.result->covered.Covers(kWholeKeySpace));
    CHECK(run.crashes.empty());
  }
  SUBCASE("most calls are lost") {
    run.Answer(3, O::kConnectionLost);
    CHECK(run.crashes.empty());
    run.Answer(4, O::kConnectionLost);
    CHECK(run.crashes.size() == 5);
  }
  SUBCASE("the caller disconnects") {
    run.Abandon();
    CHECK(run.crashes.size() == 3);
    CHECK(run.Open().empty());
  }
  SUBCASE("no rows until the deadline") {
    run.Timer(std::chrono::milliseconds(99));
    CHECK(run.crashes.size() == 3);
    CHECK(run.result->blocked);
  }
}

TEST_CASE("late, mismatched, duplicated and forged replies have no effect") {
  using Change = std::function<void(ShardReply&)>;
  const std::vector<std::pair<const char*, Change>> cases = {
      {"other query", [](ShardReply& r) { r.query_id = 8; }},
      {"unknown call", [](ShardReply& r) { r.call_id = 99; }},
      {"call of another shard", [](ShardReply& r) { r.call_id = 1; }},
      {"unknown attempt", [](ShardReply& r) { r.attempt = 1; }},
      {"other backend server", [](ShardReply& r) { r.backend = "b1-0"; }},
      {"other version", [](ShardReply& r) { r.version = 2; }},
      {"empty range",
       [](ShardReply& r) {
         r.range = {5, 5};
       }},
      {"range beyond the requested one", [](ShardReply& r) { r.range.high += 1; }},
  };
  for (const auto& [name, change] : cases) {
    CAPTURE(name);
    Fleet fleet(2, 1);
    QueryRun run(fleet);
    run.Start();
    ShardReply forged = run.ReplyTo(0, O::kRows);
    change(forged);
    run.Deliver(forged);
    CHECK_FALSE(run.result.has_value());
    run.Answer(0);
    run.Deliver(run.ReplyTo(0, O::kRows));  // Duplicate.
    run.Answer(1);
    REQUIRE(run.result.has_value());
    CHECK(run.result->rows.size() == 2);
    CHECK(run.result->stale_replies == 2);
  }
}

TEST_CASE(
    "a straggler is hedged once, the losing call is cancelled and its late reply is ignored") {
  Fleet fleet(100, 2);
  QueryRun run(fleet);
  run.Start();
  const BackendName slow = run.calls.at(0).call.backend;
  run.AnswerAll(O::kRows, {slow});
  REQUIRE(run.timer.has_value());
  run.Timer(*run.timer - run.clock.Now());
  REQUIRE(run.calls.size() == 101);
  CHECK(run.calls.at(100).call.backend != slow);
  run.Answer(100);
  CHECK(run.Open().empty());
  REQUIRE(run.result.has_value());
  CHECK(run.result->hedges == 1);
  CHECK(run.result->covered.Covers(kWholeKeySpace));
  run.Answer(0);
  CHECK(run.finishes == 1);
  CHECK_FALSE(run.invalid_action);
}

TEST_CASE("not all calls of a slow zone are hedged") {
  Fleet fleet(100, 2);
  QueryRun run(fleet, false, {.hedge_ratio = 1, .hedge_burst = 1000});
  run.Start();
  run.Timer(*run.timer - run.clock.Now());
  // All calls become late at once. The ratio applies from the fifth late call on.
  CHECK(run.calls.size() <= 120);
}

TEST_CASE("if a shard does not answer, the caller gets a partial answer before the deadline") {
  Fleet fleet(4, 1);
  QueryRun run(fleet);
  TimePoint deadline = run.clock.Now() + std::chrono::milliseconds(100);
  run.Start();
  run.AnswerAll(O::kRows, {Fleet::Backend(2, 0)});
  while (!run.result.has_value()) {
    REQUIRE(run.timer.has_value());
    run.Timer(*run.timer - run.clock.Now());
  }
  CHECK(run.clock.Now() < deadline);
  CHECK(run.clock.Now() >= deadline - std::chrono::milliseconds(10));
  CHECK(run.result->covered.MissingFrom(kWholeKeySpace) == std::vector{fleet.Range(2)});
  CHECK(run.Open().empty());
}

TEST_CASE("when the version is gone everywhere, the query restarts at the newer version") {
  Fleet fleet(3, 2);
  QueryRun run(fleet);
  run.Start();
  run.Answer(0);
  run.Answer(1, O::kVersionGone);
  run.Answer(3, O::kVersionGone);
  CHECK_FALSE(run.result.has_value());  // Waits for a view with a newer version.
  fleet.ReportAll({2});
  run.ChangeView();
  CHECK(run.Open().size() == 3);
  run.AnswerAll();
  REQUIRE(run.result.has_value());
  CHECK(run.result->version == 2);
  CHECK(run.result->rows.size() == 3);
  for (const std::string& row : run.result->rows) CHECK(row.starts_with("2:"));
}

TEST_CASE("a narrower answer leads to a call for the remainder at another replica") {
  Fleet fleet(2, 2);
  QueryRun run(fleet);
  run.Start();
  ShardReply reply = run.ReplyTo(0, O::kRows);
  reply.range = {reply.range.low + 10, reply.range.high - 10};
  run.Deliver(reply);
  CHECK(run.calls.size() == 4);
  CHECK(run.calls.at(2).call.backend != reply.backend);
  CHECK(run.calls.at(3).call.backend != reply.backend);
  run.AnswerAll();
  REQUIRE(run.result.has_value());
  CHECK(run.result->covered.Covers(kWholeKeySpace));
}

TEST_CASE("calls of a lost holder are retried elsewhere at once") {
  Fleet fleet(20, 3);
  QueryRun run(fleet);
  run.Start();
  run.LoseHolder("h1");
  for (std::uint32_t id : run.Open()) CHECK(run.calls.at(id).holder != "h1");
  CHECK(run.Open().size() == 20);
  run.AnswerAll();
  REQUIRE(run.result.has_value());
  CHECK(run.result->covered.Covers(kWholeKeySpace));
}

TEST_CASE("without any live replica the refusal is immediate and not_run") {
  Fleet fleet(2, 1);
  fleet.reports.RemoveHolder("h0");
  QueryRun run(fleet);
  run.Start();
  REQUIRE(run.result.has_value());
  CHECK(run.result->verdict == Verdict::kNotRun);
}

TEST_CASE("all calls are counted as ended when a query ends or is abandoned") {
  Fleet fleet(4, 1);
  {
    QueryRun run(fleet);
    run.Start();
    run.Answer(0);
  }
  for (int shard = 0; shard < 4; ++shard) {
    CHECK(fleet.loads.OfBackend(Fleet::Backend(shard, 0))->outstanding() == 0);
  }
}

}  // namespace
}  // namespace damaskroute
