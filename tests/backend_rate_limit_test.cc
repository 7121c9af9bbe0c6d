#include "damaskroute/forward/backend_rate_limit.h"

#include <doctest/doctest.h>

#include <deque>
#include <limits>
#include <vector>

#include "damaskroute/core/hash.h"
#include "damaskroute/core/random.h"
#include "tests/support/forward_fixture.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};

// Nodes that all call one server with a rate limit as often as they may.
class Fleet {
 public:
  Fleet(int nodes, int counted_nodes, double rate) : rate_(rate) {
    Random random(static_cast<std::uint64_t>(nodes));
    for (int i = 0; i < nodes; ++i) {
      nodes_.emplace_back(random.NextDouble());
      nodes_.back().SetNodes(counted_nodes);
      nodes_.back().SetPosition(i);
      nodes_.back().OnStated(rate, clock_.Now());
    }
  }

  void Idle(seconds span) { clock_.Advance(span); }

  // Records the greatest number of calls within a window.
  void Saturate(seconds span) {
    for (TimePoint end = clock_.Now() + span; clock_.Now() < end; clock_.Advance(kStep)) {
      for (BackendRateLimit& node : nodes_) {
        if (!node.Allows(clock_.Now())) continue;
        node.OnSent(clock_.Now());
        node.OnStated(rate_, clock_.Now());
        recent_.push_back(clock_.Now());
        ++calls_;
      }
      while (!recent_.empty() && recent_.front() + BackendRateLimit::kWindow <= clock_.Now()) {
        recent_.pop_front();
      }
      most_ = std::max(most_, recent_.size());
    }
  }

  std::size_t calls() const { return calls_; }
  std::size_t most_in_window() const { return most_; }

  std::size_t allowed_in_window() const {
    return static_cast<std::size_t>(BackendRateLimit::kOvershoot * rate_ *
                                        BackendRateLimit::kWindow.count() +
                                    BackendRateLimit::kSlack);
  }

 private:
  const double rate_;
  ManualClock clock_;
  std::vector<BackendRateLimit> nodes_;
  std::deque<TimePoint> recent_;
  std::size_t most_ = 0;
  std::size_t calls_ = 0;
};

constexpr int kFleetSizes[] = {4, 24, 33, 118, 1000};
constexpr double kRates[] = {0, 0.5, 2.1, 4.5, 27.1, 400};

// Calls `check` with each fleet size and rate.
template <typename Check>
void ForEachFleet(Check check) {
  for (int nodes : kFleetSizes) {
    for (double rate : kRates) {
      CAPTURE(nodes);
      CAPTURE(rate);
      check(nodes, rate);
    }
  }
}

TEST_CASE("nodes under full load together keep to the rate that a server states") {
  ForEachFleet([](int nodes, double rate) {
    Fleet fleet(nodes, nodes, rate);
    fleet.Saturate(seconds(60));
    CHECK(fleet.most_in_window() <= fleet.allowed_in_window());
    CHECK(fleet.calls() > 0);
  });
}

// Each node has saved up calls, and turns that it did not use.
TEST_CASE("nodes that load reaches all at once after a quiet time keep to the rate") {
  ForEachFleet([](int nodes, double rate) {
    Fleet fleet(nodes, nodes, rate);
    for (int i = 0; i < 10; ++i) {
      fleet.Idle(seconds(31));
      fleet.Saturate(seconds(9));
    }
    CHECK(fleet.most_in_window() <= fleet.allowed_in_window());
  });
}

TEST_CASE("a node that has just joined and is not counted yet does not exceed the rate") {
  for (double rate : kRates) {
    CAPTURE(rate);
    Fleet fleet(5, 4, rate);
    fleet.Saturate(seconds(6));
    CHECK(fleet.most_in_window() <= fleet.allowed_in_window());
  }
}

// Shares that are rounded down, and nodes that wait for a turn, must not leave most of the rate
// unused.
TEST_CASE("nodes under full load use at least two thirds of the rate of a server") {
  ForEachFleet([](int nodes, double rate) {
    if (rate == 0) return;
    Fleet fleet(nodes, nodes, rate);
    fleet.Saturate(seconds(60));
    CHECK(static_cast<double>(fleet.calls()) >= rate * 60 * 2 / 3);
  });
}

// Each of the nodes decides by itself which ones are the first.
TEST_CASE("the nodes of a large fleet agree on those that may call a server in each window") {
  std::vector<NodeName> names;
  for (int i = 0; i < 33; ++i) names.push_back(fmt::format("node-{}", i));
  ManualClock clock;
  std::vector<BackendTable> tables;
  for (const NodeName& name : names) {
    tables.emplace_back(BackendTableOptions{.local_node = name}, Hash64(name));
    tables.back().SetPolicies(std::make_shared<const RouteTable>(RoutingDocument{}), 33);
    tables.back().SetNodeNames(names);
    tables.back().Put(ForwardFixture::Entry(0, "a"), clock.Now());
    Backend& server = *tables.back().Find("s0a");
    tables.back().OnRateStated(server, 1, clock.Now());
    server.rate_limit.OnSent(clock.Now());
  }
  clock.Advance(seconds(5));
  auto allowed = std::count_if(tables.begin(), tables.end(), [&](const BackendTable& table) {
    return table.Find("s0a")->rate_limit.Allows(clock.Now());
  });
  CHECK(allowed >= 5);  // Half of what is allowed in a window, 1.5 x 4 + 5.
  CHECK(allowed <= 11);
}

TEST_CASE("every node of a large fleet gets a turn at a server with a low rate") {
  Random random(7);
  for (int i = 0; i < 50; ++i) {
    ManualClock clock;
    BackendRateLimit limit(random.NextDouble());
    limit.SetNodes(118);
    limit.SetPosition(i + 20);
    limit.OnStated(4.5, clock.Now());
    int calls = 0;
    for (TimePoint end = clock.Now() + seconds(120); clock.Now() < end; clock.Advance(kStep)) {
      if (!limit.Allows(clock.Now())) continue;
      limit.OnSent(clock.Now());
      ++calls;
    }
    CHECK(calls >= 1);
  }
}

TEST_CASE("the time at which a call is allowed again is exact") {
  for (int nodes : {4, 118}) {
    for (double rate : {0.0, 4.5, 27.1}) {
      CAPTURE(nodes);
      CAPTURE(rate);
      ManualClock clock;
      BackendRateLimit limit(0.3);
      limit.SetNodes(nodes);
      limit.SetPosition(nodes - 1);
      limit.OnStated(rate, clock.Now());
      for (int i = 0; i < 100; ++i) {
        TimePoint at = limit.AllowedAt(clock.Now());
        if (at > clock.Now()) {
          clock.Advance(at - clock.Now() - std::chrono::microseconds(2));
          CHECK_FALSE(limit.Allows(clock.Now()));
          clock.Advance(std::chrono::microseconds(4));
        }
        REQUIRE(limit.Allows(clock.Now()));
        limit.OnSent(clock.Now());
      }
    }
  }
}

TEST_CASE("an absurdly high rate is no limit") {
  for (double rate : {1e9, 1e308, std::numeric_limits<double>::infinity()}) {
    CAPTURE(rate);
    Fleet fleet(4, 4, rate);
    fleet.Saturate(seconds(1));
    CHECK(fleet.calls() == 400);
  }
}

TEST_CASE("a response to a call from before the last statement does not end the limit") {
  ManualClock clock;
  BackendRateLimit limit;
  TimePoint sent = clock.Now();
  clock.Advance(milliseconds(10));
  CHECK(limit.OnStated(5, clock.Now()));
  clock.Advance(milliseconds(10));
  CHECK_FALSE(limit.OnNotStated(sent));
  CHECK(limit.rate() == 5);
  CHECK(limit.OnNotStated(clock.Now()));
  CHECK_FALSE(limit.rate());
}

// One query needs a call to each shard, and both servers of shard 1 have a limit that is used up.
struct LimitedShard : ForwardFixture {
  explicit LimitedShard(double rate = 20) : ForwardFixture(4) {
    for (const char* id : {"s1a", "s1b"}) {
      BackendRateLimit& limit = table.Find(id)->rate_limit;
      limit.SetNodes(4);
      limit.OnStated(rate, clock.Now());
      limit.OnSent(clock.Now());
    }
  }
};

TEST_CASE("a shard whose servers' rates are used up is left out at once") {
  LimitedShard fixture;
  fixture.Begin(fixture.Query(4, 3));
  CHECK(fixture.run->left_out() == std::vector<ServiceName>{"s1"});
  CHECK(fixture.sent.size() == 3);
}

TEST_CASE("a query that needs a server whose rate is used up is refused until the next call") {
  LimitedShard fixture;
  fixture.Begin(fixture.Query(4, 4));
  REQUIRE(fixture.answer);
  CHECK(fixture.answer->kind == AnswerKind::kRefused);
  CHECK(fixture.sent.empty());
  TimePoint accepts = fixture.clock.Now() + fixture.answer->retry_after;
  fixture.clock.Advance(fixture.answer->retry_after);
  CHECK(fixture.table.AcceptsAgainAt("s1", accepts) == TimePoint::max());
  fixture.answer.reset();
  fixture.Begin(fixture.Query(4, 4));
  CHECK(fixture.sent.size() == 4);
}

// A call of this node is allowed only after seconds, but the caller may reach another node.
TEST_CASE("a refusal for a low rate limit does not send the caller away for long") {
  LimitedShard fixture(0.5);
  fixture.Begin(fixture.Query(4, 4));
  REQUIRE(fixture.answer);
  CHECK(fixture.answer->retry_after <= milliseconds(200));
}

TEST_CASE("a hedge does not use the last call that a rate limit allows") {
  ForwardFixture fixture(1);
  BackendRateLimit& limit = fixture.table.Find("s0b")->rate_limit;
  limit.SetNodes(4);
  limit.OnStated(8, fixture.clock.Now());
  fixture.Begin(fixture.Query(1, 1));
  REQUIRE(fixture.IsOpen("s0a"));
  fixture.Advance(milliseconds(60));
  CHECK_FALSE(fixture.IsOpen("s0b"));
  CHECK(limit.Allows(fixture.clock.Now()));
}

TEST_CASE("a hedge uses a server with a rate limit that has calls to spare") {
  ForwardFixture fixture(1);
  BackendRateLimit& limit = fixture.table.Find("s0b")->rate_limit;
  limit.SetNodes(4);
  limit.OnStated(100, fixture.clock.Now());
  fixture.clock.Advance(seconds(1));
  fixture.Begin(fixture.Query(1, 1));
  REQUIRE(fixture.IsOpen("s0a"));
  fixture.Advance(milliseconds(60));
  CHECK(fixture.IsOpen("s0b"));
}

TEST_CASE("calls prefer a server without a rate limit while it is not busy") {
  ForwardFixture fixture(1);
  BackendRateLimit& limit = fixture.table.Find("s0a")->rate_limit;
  limit.OnStated(100, fixture.clock.Now());
  fixture.Begin(fixture.Query(1, 1));
  CHECK(fixture.IsOpen("s0b"));
}

}  // namespace
}  // namespace damaskroute
