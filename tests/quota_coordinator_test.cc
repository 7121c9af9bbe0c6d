#include "damaskroute/quota/quota_coordinator.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>

#include "damaskroute/quota/quota_bucket.h"
#include "damaskroute/quota/quota_codec.h"
#include "damaskroute/quota/quota_limit_of.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kProcess = 77;

struct Fixture {
  Fixture() : coordinator("c", kProcess, QuotaOptions{}) {
    Tenant tenant{.name = "t", .rate_per_s = 100, .burst = 50};
    slot = static_cast<std::uint8_t>(QuotaTable::SlotOf(QuotaIdOf("t")));
    coordinator.SetNodes({"a", "b"});
    // Without tolerances, the bucket has the tenant's own figures.
    auto table = std::make_shared<QuotaTable>(std::vector{tenant}, QuotaBounds(), milliseconds(0));
    coordinator.SetTable(std::move(table), seconds(10));
  }

  QuotaLease Lease(const NodeName& node, Duration stamp) const {
    QuotaLease lease{node, 1, slot, /*nodes=*/2, /*period_ms=*/1000};
    lease.coordinator = kProcess;
    lease.stamp = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(stamp).count());
    return lease;
  }

  QuotaGrant Ask(std::uint64_t sequence, std::uint16_t needed, Duration now) {
    return coordinator.OnAsk({"b", 1, sequence, QuotaIdOf("t"), needed}, now);
  }

  QuotaCoordinator coordinator;
  std::uint8_t slot = 0;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "a lease ends by its stamp, however late it arrives") {
  // Guards against delayed datagrams that extend a lease beyond the node's own end.
  CHECK(coordinator.OnLease(Lease("a", seconds(10)), milliseconds(10'900)).accepted);
  CHECK(coordinator.FractionOf(slot, milliseconds(10'950)) == 0.5);
  CHECK(coordinator.FractionOf(slot, milliseconds(11'000)) == 0);
  CHECK(!coordinator.OnLease(Lease("a", seconds(10)), milliseconds(11'000)).accepted);
  CHECK(!Ask(1, 1, milliseconds(11'000)).responsible);
}

TEST_CASE_FIXTURE(Fixture, "leases of other processes, unknown nodes and the future are refused") {
  // Guards against stamps of a predecessor, whose clock and leases are unrelated.
  QuotaLease lease = Lease("a", seconds(10));
  lease.coordinator = kProcess + 1;
  CHECK(!coordinator.OnLease(lease, seconds(10)).accepted);
  CHECK(!coordinator.OnLease(Lease("unknown", seconds(10)), seconds(10)).accepted);
  CHECK(!coordinator.OnLease(Lease("a", seconds(11)), seconds(10)).accepted);
  lease = Lease("a", seconds(10));
  lease.slot = 200;
  CHECK(!coordinator.OnLease(lease, seconds(10)).accepted);
  CHECK(coordinator.FractionOf(slot, seconds(10)) == 0);
}

TEST_CASE_FIXTURE(Fixture, "a process that replaces another one adds no second share") {
  // Guards against the double share of a restarted node, and against repeated idle credit.
  QuotaLease lease = Lease("a", seconds(10));
  lease.idle_ms = 100;
  CHECK(coordinator.OnLease(lease, seconds(10)).accepted);
  lease.incarnation = 2;
  lease.stamp += 1;
  CHECK(coordinator.OnLease(lease, milliseconds(10'001)).accepted);
  CHECK(coordinator.FractionOf(slot, milliseconds(10'001)) == 0.5);
  CHECK(Ask(1, 50, milliseconds(10'001)).granted == 5);
}

TEST_CASE_FIXTURE(Fixture, "a repeated request gets the same grant") {
  // Guards against tokens that are lost whenever a reply is late.
  CHECK(coordinator.OnLease(Lease("a", seconds(10)), seconds(10)).accepted);
  CHECK(Ask(1, 3, milliseconds(10'100)).granted == 3);
  CHECK(Ask(1, 3, milliseconds(10'100)).granted == 3);
  QuotaGrant rest = Ask(2, 5, milliseconds(10'100));
  CHECK(rest.granted == 2);
  CHECK(rest.retry_ms == 20);
}

TEST_CASE_FIXTURE(Fixture, "arbitrary names take a bounded part of the memory and no stock") {
  // Guards against state for each name that a datagram states.
  CHECK(coordinator.OnLease(Lease("a", seconds(10)), seconds(10)).accepted);
  CHECK(coordinator.OnLease(Lease("b", seconds(10)), seconds(10)).accepted);
  Duration now = milliseconds(10'500);
  auto ask = [&](const NodeName& node, std::uint16_t extra) {
    return coordinator.OnAsk({node, 1, 1, QuotaIdOf("t"), /*needed=*/1, extra}, now);
  };
  CHECK(ask("unknown", 5).granted == 1);
  int refused = 0;
  for (int i = 0; i < 100; ++i) refused += ask(fmt::format("x{}", i), 0).responsible ? 0 : 1;
  CHECK(refused == 35);
  now = milliseconds(10'900);
  CHECK(ask("b", 2).granted == 3);
}

TEST_CASE("a bucket loses what exceeds a lowered limit or fraction, and gains nothing by raises") {
  // Guards against bursts out of nothing when nodes join and leave.
  QuotaBucket bucket({10, 40}, /*fraction=*/1, seconds(0));
  CHECK(bucket.Take(100, 0, seconds(0)) == 0);
  bucket.SetFraction(0.25, seconds(100));
  bucket.SetFraction(1, seconds(100));
  CHECK(bucket.Take(100, 0, seconds(100)) == 10);
  bucket.SetLimit({10, 5}, seconds(200));
  bucket.SetLimit({10, 40}, seconds(200));
  CHECK(bucket.Take(100, 0, seconds(200)) == 5);
  bucket.Credit(0.5, seconds(2));
  CHECK(bucket.Take(100, 0, seconds(200)) == 10);
  CHECK(bucket.NextTokenIn(seconds(200)) == milliseconds(100));
}

TEST_CASE("messages are read as they were written, and cut ones are not") {
  // Guards against fields that one side forgets, and reads beyond the end.
  QuotaLease lease{"node", 1, 2, 3, 4, 5, 6, 0xfedc'ba98'7654'3210};
  QuotaLeaseReply reply{"c", 1, 2, 3, true, false, 4};
  QuotaAsk ask{std::string(255, 'n'), 1, 2, 3, 65'535, 5};
  QuotaGrant grant{"", 1, 2, true, 3, 4};
  for (const QuotaMessage& message : std::vector<QuotaMessage>{lease, reply, ask, grant}) {
    std::string bytes = EncodeQuotaMessage(message);
    REQUIRE(DecodeQuotaMessage(bytes).ok());
    CHECK(*DecodeQuotaMessage(bytes) == message);
    CHECK(bytes.size() <= kMaxQuotaDatagram);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK(!DecodeQuotaMessage(bytes.substr(0, size)).ok());
    }
    CHECK(!DecodeQuotaMessage(bytes + "x").ok());
  }
}

TEST_CASE("the bucket of a quota keeps the bound and allows the quota of a window") {
  // Guards against refusals while fewer than rate x window + burst requests have run in the window:
  // a bucket with the nominal figures serves one burst less in each window of a long load.
  QuotaBounds bounds{.window = seconds(5), .overshoot = 0.1, .slack = 20};
  for (auto [rate, burst] : {std::pair(0.5, 0.0), std::pair(1.0, 1.0), std::pair(16.0, 16.0),
                             std::pair(100.0, 10.0), std::pair(10.0, 300.0)}) {
    CAPTURE(rate);
    CAPTURE(burst);
    QuotaLimit limit =
        QuotaLimitOf({.rate_per_s = rate, .burst = burst}, bounds, milliseconds(500));
    CHECK(limit.burst >= burst);
    CHECK(limit.rate_per_s >= rate);
    double in_window = limit.burst + limit.rate_per_s * 5.5;
    CHECK(in_window < (rate * 5 + burst) * 1.1 + 20);
    // A burst above the slack leaves room for the nominal rate only.
    if (burst <= 0.7 * bounds.slack) CHECK(limit.rate_per_s * 5 >= rate * 5 + burst - 1e-6);
  }
}

}  // namespace damaskroute
