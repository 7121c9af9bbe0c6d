#include "damaskroute/shares/warmth_tracker.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "damaskroute/config/backend_server.h"
#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr TimePoint kNow{std::chrono::hours(1)};

Share ShareOf(int slots, int cold_slots, bool first) {
  BackendServer backend;
  backend.slots = slots;
  backend.cold_slots = cold_slots;
  return ShareOfHalves(backend, first, !first);
}

WarmthTracker MakeTracker(const Share& share, std::uint64_t nonce, TimePoint now) {
  WarmthTracker tracker(WarmthOptions{.backend = "x", .first_nonce = nonce});
  tracker.SetShare(share, now);
  return tracker;
}

// Records a warm answer every 50 ms.
TimePoint WarmUp(WarmthTracker& tracker, BootId boot, TimePoint now, milliseconds span) {
  for (TimePoint end = now + span; now < end;) {
    TimePoint started = now;
    now += milliseconds(50);
    tracker.OnAnswer({boot, true, false, started}, now);
  }
  return now;
}

TEST_CASE("the first holder uses the cold limit for the warm-up time, then ramps up") {
  WarmthTracker tracker = MakeTracker(ShareOf(8, 1, true), 1, kNow);
  CHECK(tracker.CallLimit(kNow) == 1);
  TimePoint now = WarmUp(tracker, 7, kNow, seconds(2));
  CHECK(tracker.CallLimit(now) == 1);
  CHECK_FALSE(tracker.OnQuery({"x", 5, 0}, now).has_value());
  int last = 1;
  while (!tracker.IsWarm(now)) {
    now = WarmUp(tracker, 7, now, milliseconds(50));
    CHECK(tracker.CallLimit(now) <= last + 1);
    last = tracker.CallLimit(now);
  }
  CHECK(last == 4);
  CHECK(tracker.OnQuery({"x", 5, 0}, now)->boot_id == 7);
}

TEST_CASE("each cold observation resets to the cold limit at once") {
  for (int kind = 0; kind < 6; ++kind) {
    CAPTURE(kind);
    WarmthTracker tracker = MakeTracker(ShareOf(8, 1, true), 1, kNow);
    TimePoint now = WarmUp(tracker, 7, kNow, seconds(4));
    REQUIRE(tracker.IsWarm(now));
    if (kind == 0) tracker.OnAnswer({8, true, false, now}, now);
    if (kind == 1) tracker.OnAnswer({7, false, false, now}, now);
    if (kind == 2) tracker.OnAnswer({7, true, true, now}, now);
    if (kind == 3) tracker.OnColdObservation(now);
    if (kind == 4) tracker.OnQuery({"x", 5, 99}, now);
    if (kind == 5) {
      for (int i = 0; i < 8; ++i) tracker.OnAnswer({7, true, false, now - seconds(1)}, now);
    }
    CHECK(tracker.CallLimit(now) == 1);
    CHECK_FALSE(tracker.OnQuery({"x", 6, kind == 4 ? 99U : 0U}, now).has_value());
    // Answers to earlier calls do not count as warm.
    for (int i = 0; i < 100; ++i) {
      tracker.OnAnswer({tracker.boot_id(), true, false, now - milliseconds(1)}, now + seconds(3));
    }
    CHECK(tracker.CallLimit(now + seconds(3)) == 1);
  }
}

TEST_CASE("a backend server that was idle is first called with the cold limit") {
  WarmthTracker tracker = MakeTracker(ShareOf(8, 1, true), 1, kNow);
  TimePoint now = WarmUp(tracker, 7, kNow, seconds(4)) + seconds(11);
  CHECK(tracker.CallLimit(now) == 1);
  CHECK_FALSE(tracker.OnQuery({"x", 5, 0}, now).has_value());
  tracker.OnAnswer({7, true, false, now}, now + milliseconds(10));
  CHECK(tracker.CallLimit(now + milliseconds(10)) == 4);
}

TEST_CASE("a late grant does not extend the validity at the second holder") {
  WarmthTracker second = MakeTracker(ShareOf(4, 1, false), 1, kNow);
  CHECK(second.CallLimit(kNow) == 0);
  TimePoint requested = kNow + seconds(1);
  WarmQuery query = *second.OnTimer(requested);
  WarmGrant grant{"x", query.nonce, 7, seconds(2)};
  second.OnGrant(grant, requested + milliseconds(1900));
  CHECK(second.CallLimit(requested + milliseconds(1999)) == 1);
  CHECK(second.CallLimit(requested + seconds(2)) == 0);
  second.OnGrant(grant, requested + seconds(3));
  CHECK(second.CallLimit(requested + seconds(3)) == 0);
  // If the first holder fails under load, warm answers to the second holder extend the validity.
  WarmthTracker loaded = MakeTracker(ShareOf(4, 1, false), 1, kNow);
  query = *loaded.OnTimer(requested);
  loaded.OnGrant({"x", query.nonce, 7, seconds(2)}, requested);
  TimePoint now = WarmUp(loaded, 7, requested, seconds(10));
  CHECK(loaded.CallLimit(now) == 2);
  // A grant requested before a cold observation is invalid.
  query = *loaded.OnTimer(now + seconds(3));
  loaded.OnColdObservation(now + seconds(3));
  loaded.OnGrant({"x", query.nonce, 7, seconds(2)}, now + seconds(3));
  CHECK(loaded.CallLimit(now + seconds(3)) == 0);
}

// Two holders under full load, a backend server that restarts at random times, and delayed and lost
// messages between the holders.
TEST_CASE("after a cold observation of each holder, the sum stays within the cold limit") {
  int boots = 0;
  int max_calls_before = 0;
  int steps_over_limit = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    int slots = 2 + static_cast<int>(random.Below(6));
    int cold = 1 + static_cast<int>(random.Below(2));
    std::vector<WarmthTracker> holders;
    holders.push_back(MakeTracker(ShareOf(slots, cold, true), 1, kNow));
    holders.push_back(MakeTracker(ShareOf(slots, cold, false), 1000, kNow));
    struct Call {
      int holder;
      TimePoint started;
      TimePoint ends;
      BootId boot;
    };
    std::vector<Call> calls;
    std::vector<std::pair<TimePoint, WarmQuery>> queries;
    std::vector<std::pair<TimePoint, WarmGrant>> grants;
    BootId boot = 1;
    TimePoint booted = kNow;
    bool observed[2] = {true, true};  // Has observed the current incarnation; initially true.
    auto in_flight = [&](int holder) {
      return std::count_if(calls.begin(), calls.end(),
                           [&](const Call& call) { return call.holder == holder; });
    };
    for (TimePoint now = kNow; now < kNow + seconds(30); now += milliseconds(10)) {
      if (random.Below(800) == 0) {
        ++boot;
        ++boots;
        booted = now;
        observed[0] = observed[1] = false;
      }
      bool is_cold = now < booted + seconds(2);
      for (auto it = calls.begin(); it != calls.end();) {
        if (it->ends > now) {
          ++it;
          continue;
        }
        Call call = *it;
        it = calls.erase(it);
        if (call.boot != boot) {
          holders[call.holder].OnColdObservation(now);
          observed[call.holder] = true;
          continue;
        }
        holders[call.holder].OnAnswer({boot, !is_cold, false, call.started}, now);
        observed[call.holder] = true;
      }
      if (std::optional<WarmQuery> query = holders[1].OnTimer(now); query && random.Below(4) != 0) {
        queries.emplace_back(now + milliseconds(random.Below(500)), *query);
      }
      for (auto& [at, query] : queries) {
        if (at > now) continue;
        at = TimePoint::max();
        std::optional<WarmGrant> grant = holders[0].OnQuery(query, now);
        if (grant) grants.emplace_back(now + milliseconds(random.Below(500)), *grant);
      }
      for (auto& [at, grant] : grants) {
        if (at > now) continue;
        at = TimePoint::max();
        holders[1].OnGrant(grant, now);
      }
      for (int holder : {0, 1}) {
        while (in_flight(holder) < holders[holder].CallLimit(now)) {
          calls.push_back({holder, now, now + milliseconds(10 + random.Below(60)), boot});
        }
      }
      auto current = std::count_if(calls.begin(), calls.end(),
                                   [&](const Call& call) { return call.boot == boot; });
      if (!is_cold) continue;
      if (observed[0] && observed[1]) {
        // Earlier calls may still run; only the limit for new calls is bounded.
        REQUIRE(holders[0].CallLimit(now) + holders[1].CallLimit(now) <= cold);
      } else if (current > cold) {
        max_calls_before = std::max(max_calls_before, static_cast<int>(current));
        ++steps_over_limit;
      }
      REQUIRE(current <= slots);
    }
  }
  fmt::print(
      "cold start: {} boots; before the observations at most {} calls, over the limit in {} of "
      "the 10 ms steps\n",
      boots, max_calls_before, steps_over_limit);
}

}  // namespace
}  // namespace damaskroute
