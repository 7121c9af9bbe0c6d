#include "damaskroute/forward/forward_run.h"

#include <doctest/doctest.h>

#include "tests/support/forward_world.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a plain request passes on the answer of one server in the own zone") {
  ForwardWorld w;
  w.Begin(w.Plain(true));
  CHECK(w.sent == std::vector<std::string>{"s0a"});
  w.Answer200("s0a");
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kPassedOn);
  CHECK(w.answer->parts.front().stamp == "stamp-s0a");
}

TEST_CASE("a non-idempotent request is not sent again after a lost answer") {
  ForwardWorld w;
  w.Begin(w.Plain(false));
  w.End("s0a", CallEnd::kLost);
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kFailed);
  CHECK(w.answer->verdict() == Verdict::kMayHaveRun);
  CHECK(w.sent.size() == 1);
}

TEST_CASE("a non-idempotent request is never copied, however late its server is") {
  ForwardWorld w;
  w.Begin(w.Plain(false));
  w.Advance(milliseconds(900));
  CHECK(w.sent.size() == 1);
  w.Advance(milliseconds(200));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kTimedOut);
  CHECK(w.answer->verdict() == Verdict::kMayHaveRun);
}

TEST_CASE("a non-idempotent request goes to another server after one that did not run it") {
  for (CallEnd end : {CallEnd::kNotRun, CallEnd::kMisdirected, CallEnd::kUnreachable}) {
    ForwardWorld w;
    w.Begin(w.Plain(false));
    w.End("s0a", end);
    CHECK(w.IsOpen("s0b"));
    w.Answer200("s0b");
    CHECK(w.answer->kind == AnswerKind::kPassedOn);
  }
}

TEST_CASE("a refusal says not run only if no server can have run the request") {
  ForwardWorld none;
  none.Begin(none.Plain(false));
  none.End("s0a", CallEnd::kNotRun);
  none.End("s0b", CallEnd::kUnreachable);
  REQUIRE(none.answer);
  CHECK(none.answer->verdict() == Verdict::kNotRun);
  CHECK(none.answer->retry_after.count() > 0);

  ForwardWorld one;
  one.Begin(one.Plain(true));
  one.End("s0a", CallEnd::kLost);
  one.End("s0b", CallEnd::kNotRun);
  REQUIRE(one.answer);
  CHECK(one.answer->verdict() == Verdict::kMayHaveRun);
}

TEST_CASE("a server's error is passed on unchanged when no other server can answer") {
  ForwardWorld w;
  w.Begin(w.Plain(true));
  w.End("s0a", CallEnd::kServerError, 500);
  CHECK(w.IsOpen("s0b"));
  w.End("s0b", CallEnd::kServerError, 500);
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kPassedOn);
  CHECK(w.answer->parts.front().status == 500);
}

TEST_CASE("no more servers run a request than its route allows") {
  ForwardWorld w(1, 5);
  w.Begin(w.Plain(true));
  for (const char* server : {"s0a", "s0b", "s0c", "s0d", "s0e"}) {
    w.End(server, CallEnd::kLost);
  }
  CHECK(w.sent.size() == 2);
}

TEST_CASE("a request that no server can serve is refused at once") {
  ForwardWorld w;
  w.table.SetClosedZones({"a", "b"});
  w.Begin(w.Plain(true));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kRefused);
  CHECK(w.sent.empty());
}

TEST_CASE("a query is refused at once when too few of its shards can be served") {
  ForwardWorld w(4);
  w.table.Remove("s0a");
  w.table.Remove("s0b");
  w.Begin(w.Query(4, 4));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kRefused);
  CHECK(w.sent.empty());
}

// A back end pauses for 250 ms: its call must not hold the query until then.
TEST_CASE("a late call gets a copy at the other server of the shard, and the loser is cancelled") {
  ForwardWorld w(2);
  w.Begin(w.Query(2, 2));
  w.Answer200("s1a");
  w.Advance(milliseconds(24));
  CHECK_FALSE(w.IsOpen("s0b"));
  w.Advance(milliseconds(1));
  CHECK(w.IsOpen("s0b"));
  w.Answer200("s0b");
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kMerged);
  CHECK(w.answer->missing == 0);
  CHECK(w.open.empty());
}

TEST_CASE("a query is answered at its objective without a late shard if enough are in") {
  ForwardWorld w(4);
  w.Begin(w.Query(4, 3));
  for (const char* server : {"s0a", "s1a", "s2a"}) w.Answer200(server);
  w.Advance(milliseconds(69));
  CHECK_FALSE(w.answer);
  w.Advance(milliseconds(1));
  REQUIRE(w.answer);
  CHECK(w.answer->missing == 1);
  CHECK(w.answer->parts.size() == 3);
  CHECK(w.open.empty());
}

TEST_CASE("a query waits past its objective while too few shards are in") {
  ForwardWorld w(4);
  w.Begin(w.Query(4, 3));
  w.Answer200("s0a");
  w.Answer200("s1a");
  w.Advance(milliseconds(200));
  CHECK_FALSE(w.answer);
  w.Answer200("s2a");
  REQUIRE(w.answer);
  CHECK(w.answer->parts.size() == 3);
}

TEST_CASE("a query does not wait for a shard whose servers all failed") {
  ForwardWorld w(4);
  w.Begin(w.Query(4, 3));
  for (const char* server : {"s0a", "s1a", "s2a"}) w.Answer200(server);
  w.End("s3a", CallEnd::kUnreachable);
  w.End("s3b", CallEnd::kUnreachable);
  REQUIRE(w.answer);
  CHECK(w.answer->missing == 1);
}

TEST_CASE("a query fails at once when enough shards can no longer come in") {
  ForwardWorld w(2);
  w.Begin(w.Query(2, 2));
  w.End("s0a", CallEnd::kLost);
  w.End("s0b", CallEnd::kLost);
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kFailed);
  CHECK(w.open.empty());
}

TEST_CASE("an error of a server is no part of an answer") {
  ForwardWorld w(1);
  w.Begin(w.Query(1, 1));
  w.End("s0a", CallEnd::kServerError, 500);
  w.End("s0b", CallEnd::kServerError, 500);
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kFailed);
}

TEST_CASE("a caller that leaves ends all calls and gets nothing") {
  ForwardWorld w(3);
  w.Begin(w.Query(3, 3));
  w.Take(w.run->Abandon(w.clock.Now()));
  CHECK(w.open.empty());
  CHECK_FALSE(w.answer);
  CHECK(w.table.Find("s0a")->evidence.outstanding() == 0);
}

TEST_CASE("a result that arrives after the answer changes nothing") {
  ForwardWorld w(1);
  w.Begin(w.Query(1, 1));
  w.Advance(milliseconds(30));
  CHECK(w.open.size() == 2);
  w.Answer200("s0b");
  CHECK(w.run->OnResult(0, {}, w.clock.Now()).empty());
}

// Backends of many shards turn slow at once: every call is late, and copies of all of them would
// double the load.
TEST_CASE("copies stop at the budget when all shards are slow") {
  ForwardWorld w(20);
  w.budget_options.node_slack = 0;
  w.Begin(w.Query(20, 15));
  w.Advance(milliseconds(60));
  CHECK(w.sent.size() == 20);
  CHECK(w.run->counts().over_budget > 0);
}

// scale-2 of cajon-sur: a zone goes dark while servers of the other are slow. Queries that could
// not be served took the room of those that could, and all of them failed.
TEST_CASE("a query leaves out shards that cannot be reached, or is refused without any call") {
  for (std::size_t min_parts : {2U, 3U}) {
    ForwardWorld w(3);
    for (const char* server : {"s2a", "s2b"}) {
      w.table.Find(server)->evidence.OnEnded(w.clock.Now(), EvidenceOf::kUnreachable,
                                             milliseconds(10), w.clock.Now());
    }
    w.Begin(w.Query(3, min_parts));
    if (min_parts == 2) {
      CHECK(w.sent == std::vector<std::string>{"s0a", "s1a"});
    } else {
      REQUIRE(w.answer);
      CHECK(w.answer->kind == AnswerKind::kRefused);
      CHECK(w.sent.empty());
      CHECK(w.answer->retry_after == milliseconds(300));
    }
  }
}

// brekke-staffeli-grown, trouble-1: torget is cut off. Each of its nine nodes gets one query a
// second and found the servers of the other zones one by one, so it let three queries fail after
// 0.2 to 0.7 s before it refused one, and left service only 1 to 5 s after the cut.
TEST_CASE("a node that is cut off loses one query, and refuses the next one at once") {
  constexpr int kShards = 40;
  ForwardWorld w(kShards, 0);
  for (int shard = 0; shard < kShards; ++shard) {
    for (const char* zone : {"b", "c", "d"}) w.AddServer(shard, zone);
  }
  w.clock.Advance(std::chrono::seconds(1));
  w.Begin(w.Query(kShards, 38));
  CHECK(w.sent.size() == kShards);
  // Calls on connections that are open get no answer. The others find no connection in time.
  for (int i = 0; i < 3; ++i) {
    w.clock.Advance(milliseconds(60));
    auto open = w.open;
    for (const auto& [call, server] : open) {
      if (call < 5 || call >= kShards) w.End(server, CallEnd::kUnreachable);
    }
  }
  w.Advance(milliseconds(1000 - 3 * 60));  // To the deadline.
  CHECK(w.run->finished());
  w.sent.clear();
  w.answer.reset();
  w.Begin(w.Query(kShards, 38));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kRefused);
  CHECK(w.sent.empty());
}

TEST_CASE("a shard that could not be reached is tried again after a while") {
  ForwardWorld w(1);
  for (const char* server : {"s0a", "s0b"}) {
    w.table.Find(server)->evidence.OnEnded(w.clock.Now(), EvidenceOf::kUnreachable,
                                           milliseconds(10), w.clock.Now());
  }
  w.clock.Advance(milliseconds(250));
  w.Begin(w.Query(1, 1));
  CHECK(w.sent.size() == 1);
}

TEST_CASE("a plain request is tried even if its servers could not be reached") {
  ForwardWorld w(1, 1);
  w.table.Find("s0a")->evidence.OnEnded(w.clock.Now(), EvidenceOf::kUnreachable, milliseconds(10),
                                        w.clock.Now());
  w.Begin(w.Plain(true));
  CHECK(w.sent.size() == 1);
}

TEST_CASE("while the load is too high, late calls get no copies but failed ones are repeated") {
  ForwardWorld w(2);
  w.Begin(w.Query(2, 2), /*copies=*/false);
  w.End("s1a", CallEnd::kNotRun);
  CHECK(w.IsOpen("s1b"));
  w.Advance(milliseconds(60));
  CHECK_FALSE(w.IsOpen("s0b"));
}

// deploy/days/evacuations.toml: one slow shard kept queries in the limit of those in progress.
TEST_CASE("a query that waits for its last fifth no longer counts as load") {
  ForwardWorld w(5);
  w.Begin(w.Query(5, 5));
  for (const char* server : {"s0a", "s1a", "s2a"}) w.Answer200(server);
  CHECK_FALSE(w.run->is_mostly_done());
  w.Answer200("s3a");
  CHECK(w.run->is_mostly_done());
  CHECK_FALSE(w.answer);
}

TEST_CASE("a process that ends answers with what is there") {
  ForwardWorld w(4);
  w.Begin(w.Query(4, 3));
  for (const char* server : {"s0a", "s1a", "s2a"}) w.Answer200(server);
  w.Take(w.run->GiveUp("the node ends", w.clock.Now()));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kMerged);
}

}  // namespace
}  // namespace damaskroute
