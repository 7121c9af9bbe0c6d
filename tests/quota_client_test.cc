#include "damaskroute/quota/quota_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <vector>

#include "damaskroute/quota/quota_coordinator.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A node that is alone and coordinates its own shares. The tenant may run 20 requests a second.
struct Fixture {
  Fixture() {
    Tenant tenant{.name = "t", .rate_per_s = 20, .burst = 20};
    // Without tolerances, the bucket has the tenant's own figures.
    auto table = std::make_shared<QuotaTable>(std::vector{tenant}, QuotaBounds(), milliseconds(0));
    coordinator.SetTable(table, kStart);
    client.SetTable(std::move(table), kStart);
    coordinator.SetNodes({"n"});
    client.SetNodes({"n"}, {"n"}, /*min_nodes=*/1, kStart, kStart);
    Deliver(kStart);
  }

  void Deliver(Duration now) {
    while (true) {
      QuotaActions actions = client.TakeActions();
      if (actions.sends.empty() && actions.verdicts.empty()) return;
      for (const QuotaSend& send : actions.sends) {
        if (const auto* lease = std::get_if<QuotaLease>(&send.message)) {
          client.OnLeaseReply(coordinator.OnLease(*lease, now), now);
        } else if (const auto* ask = std::get_if<QuotaAsk>(&send.message)) {
          client.OnGrant(coordinator.OnAsk(*ask, now), now);
        }
      }
      for (const QuotaVerdict& verdict : actions.verdicts) {
        if (verdict.outcome == QuotaOutcome::kGranted) ++granted;
      }
    }
  }

  void Take(Duration now) {
    client.Take(QuotaIdOf("t"), next_waiter++, now);
    Deliver(now);
  }

  static constexpr Duration kStart = seconds(100);

  QuotaOptions options{.join_delay = milliseconds(500)};
  QuotaClient client{"n", 77, options, kStart};
  QuotaCoordinator coordinator{"n", 77, options};
  std::uint64_t next_waiter = 1;
  int granted = 0;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "tokens that a node has not used of its share are leased with it") {
  // Guards against refusals of a tenant far below its quota after its first request on a node: the
  // request waits while the node may not lease its share yet, ends its wait in the moment in which
  // the node may, and is served from the share just before this is leased.
  Duration usable = kStart + seconds(1) + options.grant_validity;
  Take(usable - options.max_wait + milliseconds(1));
  CHECK(granted == 0);
  Duration now = usable + milliseconds(2);
  client.OnTimer(now);
  Deliver(now);
  REQUIRE(granted == 1);
  // The share was idle from one second after the start: 502 ms at 20 a second are 10 tokens.
  for (int i = 0; i < 20; ++i) Take(now);
  CHECK(granted == 10);
}

TEST_CASE_FIXTURE(Fixture, "tokens that a node has used of its share are not leased with it") {
  // Guards against tokens that are granted twice.
  Duration usable = kStart + seconds(1) + options.grant_validity;
  for (int i = 0; i < 15; ++i) Take(usable - options.max_wait + milliseconds(1));
  Duration now = usable + milliseconds(2);
  client.OnTimer(now);
  Deliver(now);
  CHECK(granted == 10);
  for (int i = 0; i < 20; ++i) Take(now);
  CHECK(granted == 10);
}

}  // namespace damaskroute
