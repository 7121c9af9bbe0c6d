#include "damaskroute/store/feed_schedule.h"

#include <doctest/doctest.h>

#include "damaskroute/node/forward_server.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  FeedOptions options;
  FeedSchedule schedule{options, 1};
  ManualClock clock;

  FeedStep Next() { return schedule.Next(clock.Now()); }
  void ReadAll(std::uint64_t as_of) { schedule.OnPage("last", false, as_of, clock.Now()); }
  void Fail(milliseconds took, bool watch) {
    milliseconds held = watch ? Next().wait : milliseconds(0);
    clock.Advance(took);
    schedule.OnFailure(took - held, clock.Now());
  }
};

TEST_CASE("all items are read before changes are watched, so nothing is missed at the start") {
  Fixture f;
  CHECK(f.Next().kind == FeedStepKind::kRead);
  CHECK(f.Next().after_key.empty());
  f.ReadAll(7);
  FeedStep step = f.Next();
  CHECK(step.kind == FeedStepKind::kWatch);
  CHECK(step.after_revision == 7);
}

TEST_CASE("the watch starts from the revision of the first page, as the pages are not a snapshot") {
  Fixture f;
  f.schedule.OnPage("key-500", true, 10, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kRead);
  CHECK(f.Next().after_key == "key-500");
  f.schedule.OnPage("key-700", false, 14, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.Next().after_revision == 10);
}

TEST_CASE("changes are batched before the next watch, because each watch is a priced call") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnChanges({3}, 10, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kPause);
  f.clock.Advance(f.options.batch_delay);
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.Next().after_revision == 10);
}

// Guards against servers that stay unused after a partition of their zone: their entries expired,
// and each returns with its server's next heartbeat. With the usual batch delay, most of the
// servers stay unused for one more delay.
TEST_CASE("the batch delay is shorter while missing servers are expected to return") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnChanges({3}, 10, f.clock.Now());
  f.schedule.SetEager(true);
  CHECK(f.Next().kind == FeedStepKind::kPause);
  f.clock.Advance(f.options.eager_batch_delay);
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  f.schedule.OnChanges({3}, 13, f.clock.Now());
  f.schedule.SetEager(false);
  f.clock.Advance(f.options.eager_batch_delay);
  CHECK(f.Next().kind == FeedStepKind::kPause);
}

TEST_CASE("a failing store is not called sooner because changes are expected") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.SetEager(true);
  f.Fail(milliseconds(10), true);
  CHECK(f.Next().kind == FeedStepKind::kPause);
  CHECK(f.Next().until - f.clock.Now() >= f.options.initial_backoff / 2);
}

TEST_CASE("a watch without changes is followed by the next one at once") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnChanges({0}, 9, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.Next().after_revision == 9);
}

// Guards against stale routes after an outage: a node that the store had refused fetched 3,000
// changes in batches of 500 with a pause of 1.25 s between them, and used stale routes for five
// seconds.
TEST_CASE(
    "a backlog after an outage is fetched without pauses, so routes are not stale for seconds") {
  Fixture f;
  f.ReadAll(282);
  f.schedule.OnChanges({500}, 782, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kReadDirectives);
  f.schedule.OnDirectives(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.Next().after_revision == 782);
  CHECK(f.Next().wait == milliseconds(0));
  f.schedule.OnChanges({40}, 822, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kPause);
}

// Guards against stale routes: 2,400 changes were made while the store refused the followed nodes.
// A full page counted as up to date, so the node waited for these nodes again for 4.4 s and used
// routes that were 5.1 s old.
TEST_CASE("a page that is not the last one does not count as up to date") {
  Fixture f;
  f.schedule.SetRelays(2);
  f.ReadAll(313);
  f.schedule.OnRelayHistoryLost();
  f.clock.Advance(f.options.max_relay_age);
  f.schedule.OnChanges({500}, 813, f.clock.Now());
  CHECK(f.schedule.is_behind());
  f.schedule.OnDirectives(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  f.schedule.OnChanges({440}, 1253, f.clock.Now());
  f.schedule.OnDirectives(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  f.schedule.OnChanges({40}, 1293, f.clock.Now());
  CHECK_FALSE(f.schedule.is_behind());
  f.clock.Advance(f.options.batch_delay);
  CHECK(f.Next().kind == FeedStepKind::kFollow);
}

// Guards against pages that the store limits by size: a few versions of large routes.
TEST_CASE("a page of few but large changes may not be the last one either") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnChanges({.changes = 2, .bytes = 600'000}, 9, f.clock.Now());
  CHECK(f.schedule.is_behind());
  CHECK(f.Next().kind == FeedStepKind::kReadDirectives);
}

// Guards against operator directives that wait behind server entries, however many there are. Each
// call takes half a second here, and 20,000 changes arrive in pages of 500.
TEST_CASE("operator directives are read while a backlog is fetched") {
  Fixture f;
  f.ReadAll(7);
  TimePoint read_at = f.clock.Now();
  for (std::uint64_t page = 1; page <= 40; ++page) {
    f.clock.Advance(milliseconds(500));
    f.schedule.OnChanges({500}, 7 + 500 * page, f.clock.Now());
    REQUIRE(f.Next().kind == FeedStepKind::kReadDirectives);
    f.clock.Advance(milliseconds(500));
    f.schedule.OnDirectives(f.clock.Now());
    CHECK(f.clock.Now() - read_at <= seconds(1));
    read_at = f.clock.Now();
  }
}

TEST_CASE("operator directives are read again when their read fails") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnChanges({500}, 507, f.clock.Now());
  f.Fail(milliseconds(700), false);
  f.clock.Advance(f.options.max_backoff);
  CHECK(f.Next().kind == FeedStepKind::kReadDirectives);
}

// Guards against deployments with a bound shorter than the one for contact with the store.
TEST_CASE("data from a followed node is never older than the shortest bound allows") {
  ForwardNodeSettings settings;
  settings.contact_bound = seconds(6);
  settings.evacuate_bound = seconds(3);
  FeedOptions options = MakeFeedOptions(settings);
  CHECK(options.max_relay_age + options.watch_slack / 2 < settings.evacuate_bound);
}

TEST_CASE("all items are read again from the beginning when the history is lost") {
  Fixture f;
  f.ReadAll(7);
  f.schedule.OnHistoryLost(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kRead);
  CHECK(f.Next().after_key.empty());
}

TEST_CASE("pages read before a failure are not combined with pages read after it") {
  Fixture f;
  f.schedule.OnPage("key-500", true, 10, f.clock.Now());
  f.Fail(milliseconds(10), false);
  f.clock.Advance(seconds(1));
  CHECK(f.Next().after_key.empty());
}

TEST_CASE("the pause grows with consecutive failures, up to a bound") {
  Fixture f;
  milliseconds longest{0};
  for (int i = 0; i < 10; ++i) {
    f.Fail(milliseconds(2), false);
    FeedStep step = f.Next();
    CHECK(step.kind == FeedStepKind::kPause);
    longest =
        std::max(longest, std::chrono::duration_cast<milliseconds>(step.until - f.clock.Now()));
    f.clock.Advance(step.until - f.clock.Now());
  }
  CHECK(longest <= f.options.max_backoff);
  CHECK(longest >= f.options.max_backoff / 2);
}

TEST_CASE("one reset connection is not an outage, so a removed server is not kept") {
  Fixture f;
  f.ReadAll(7);
  f.Fail(milliseconds(300), true);
  CHECK_FALSE(f.schedule.in_outage());
  CHECK_FALSE(f.schedule.is_recovering(f.clock.Now()));
}

TEST_CASE("missing entries may have expired only until shortly after an outage") {
  Fixture f;
  f.ReadAll(7);
  f.Fail(milliseconds(10), true);
  f.Fail(milliseconds(10), true);
  CHECK(f.schedule.in_outage());
  f.clock.Advance(seconds(3));
  f.schedule.OnChanges({4}, 30, f.clock.Now());
  CHECK_FALSE(f.schedule.in_outage());
  CHECK(f.schedule.is_recovering(f.clock.Now()));
  f.clock.Advance(f.options.recovery_window);
  CHECK_FALSE(f.schedule.is_recovering(f.clock.Now()));
}

TEST_CASE("a slow store gets more time with each failure, so that a call can succeed") {
  Fixture f;
  f.ReadAll(7);
  milliseconds first = f.Next().timeout - f.Next().wait;
  f.Fail(f.Next().timeout, true);
  f.clock.Advance(seconds(1));
  CHECK(f.Next().timeout - f.Next().wait >= 2 * first);
}

// Guards against long watches: one of 20 s kept waiting on a connection that was unresponsive.
TEST_CASE("an unresponsive connection is detected before the node must be up to date again") {
  for (int contact_seconds : {4, 5}) {
    ForwardNodeSettings settings;
    settings.contact_bound = seconds(contact_seconds);
    FeedOptions options = MakeFeedOptions(settings);
    CHECK(options.watch_wait + options.watch_slack + options.max_backoff / 2 <
          settings.contact_bound);
    CHECK(options.batch_delay + options.watch_slack < settings.config_bound);
  }
}

TEST_CASE("a node in a large zone follows another node instead of the store") {
  Fixture f;
  f.schedule.SetRelays(2);
  CHECK(f.Next().kind == FeedStepKind::kRead);
  f.ReadAll(7);
  FeedStep step = f.Next();
  CHECK(step.kind == FeedStepKind::kFollow);
  CHECK(step.relay == 0);
  CHECK(step.after_revision == 7);
  f.schedule.OnRelayChanges(9, milliseconds(500), f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kFollow);
  CHECK(f.Next().after_revision == 9);
  f.schedule.SetRelays(0);
  CHECK(f.Next().kind == FeedStepKind::kWatch);
}

TEST_CASE("a followed node that fails is replaced by the other one, and both by the store") {
  Fixture f;
  f.schedule.SetRelays(2);
  f.ReadAll(7);
  f.schedule.OnRelayFailure(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kFollow);
  CHECK(f.Next().relay == 1);
  f.schedule.OnRelayFailure(f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  f.schedule.OnChanges({0}, 8, f.clock.Now());
  f.clock.Advance(f.options.direct_period);
  f.schedule.OnChanges({0}, 9, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kFollow);
}

// Guards against a node that is behind because the followed node has lost the store or the
// connection to it is unresponsive. No node may be behind for longer than with its own watch.
TEST_CASE("data from a followed node is never used for longer than a watch may take") {
  Fixture f;
  f.schedule.SetRelays(2);
  f.ReadAll(7);
  TimePoint confirmed = f.clock.Now();
  Duration bound = f.options.max_relay_age;
  for (int i = 0; i < 100; ++i) {
    FeedStep step = f.Next();
    if (step.kind != FeedStepKind::kFollow) break;
    CHECK(f.clock.Now() + step.wait <= confirmed + bound);
    f.clock.Advance(step.wait);
    f.schedule.OnRelayChanges(7, f.clock.Now() - confirmed, f.clock.Now());
  }
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.clock.Now() <= confirmed + bound);
}

TEST_CASE("changes that a followed node no longer has are fetched from the store, once") {
  Fixture f;
  f.schedule.SetRelays(1);
  f.ReadAll(7);
  f.schedule.OnRelayHistoryLost();
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  f.schedule.OnChanges({0}, 12, f.clock.Now());
  CHECK(f.Next().kind == FeedStepKind::kFollow);
}

TEST_CASE("a followed node that reaches the store ends an outage") {
  Fixture f;
  f.schedule.SetRelays(1);
  f.ReadAll(7);
  f.Fail(milliseconds(10), true);
  f.Fail(milliseconds(10), true);
  REQUIRE(f.schedule.in_outage());
  f.schedule.OnRelayChanges(8, milliseconds(20), f.clock.Now());
  CHECK_FALSE(f.schedule.in_outage());
  CHECK(f.schedule.is_recovering(f.clock.Now()));
}

using EraOrder = FeedSchedule::EraOrder;

TEST_CASE("all items are read again in a new era, from the first page on") {
  Fixture f;
  CHECK(f.schedule.OnEra(4, f.clock.Now()) == EraOrder::kCurrent);
  f.ReadAll(100);
  CHECK(f.schedule.OnEra(4, f.clock.Now()) == EraOrder::kCurrent);
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.schedule.OnEra(5, f.clock.Now()) == EraOrder::kNew);
  CHECK(f.schedule.is_recovering(f.clock.Now()));
  CHECK(f.Next().kind == FeedStepKind::kRead);
  f.schedule.OnPage("key-500", true, 90, f.clock.Now());
  CHECK(f.schedule.OnEra(6, f.clock.Now()) == EraOrder::kNew);  // Restored between two pages.
  CHECK(f.Next().after_key.empty());
  f.ReadAll(80);
  CHECK(f.Next().after_revision == 80);
}

TEST_CASE("a response from before a restore changes nothing") {
  Fixture f;
  CHECK(f.schedule.OnEra(5, f.clock.Now()) == EraOrder::kCurrent);
  f.ReadAll(80);
  CHECK(f.schedule.OnEra(4, f.clock.Now()) == EraOrder::kOutdated);
  CHECK(f.schedule.era() == 5);
  CHECK(f.Next().after_revision == 80);
}

TEST_CASE("a follower reads the store itself when its era and that of the followed node differ") {
  Fixture f;
  f.schedule.SetRelays(2);
  f.ReadAll(7);
  CHECK(f.Next().kind == FeedStepKind::kFollow);
  f.schedule.OnRelayHistoryLost();
  CHECK(f.Next().kind == FeedStepKind::kWatch);
  CHECK(f.schedule.OnEra(2, f.clock.Now()) == EraOrder::kCurrent);
  CHECK(f.schedule.OnEra(3, f.clock.Now()) == EraOrder::kNew);
  CHECK(f.Next().kind == FeedStepKind::kRead);
  f.ReadAll(5);
  CHECK(f.Next().kind == FeedStepKind::kFollow);
  CHECK(f.Next().after_revision == 5);
}

}  // namespace
}  // namespace damaskroute
