#include "damaskroute/crashguard/connection_loss_tracker.h"

#include <doctest/doctest.h>

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootId kBoot = 7;

// Guards against a loss that is reported after its only refutation, because reports wait until the
// query ends.
TEST_CASE(
    "an answer to a later call of the same incarnation refutes a crash once per second, five "
    "times") {
  ManualClock clock;
  clock.Advance(seconds(1));
  ConnectionLossTracker tracker;
  CHECK_FALSE(tracker.OnAnswer(kBoot, clock.Now(), clock.Now()));
  tracker.OnLoss(kBoot, clock.Now());
  clock.Advance(milliseconds(5));
  for (int second = 0; second < 5; ++second) {
    CHECK(tracker.OnAnswer(kBoot, clock.Now(), clock.Now()));
    CHECK_FALSE(tracker.OnAnswer(kBoot, clock.Now(), clock.Now()));
    clock.Advance(seconds(1));
  }
  CHECK_FALSE(tracker.OnAnswer(kBoot, clock.Now(), clock.Now()));
}

// Guards against a real crash that is refuted by an answer sent before it, or by the process that
// replaced the crashed one.
TEST_CASE("an answer to an earlier call or of another incarnation refutes nothing") {
  ManualClock clock;
  clock.Advance(seconds(1));
  TimePoint before = clock.Now();
  clock.Advance(milliseconds(10));
  ConnectionLossTracker tracker;
  tracker.OnLoss(kBoot, clock.Now());
  clock.Advance(milliseconds(10));
  CHECK_FALSE(tracker.OnAnswer(kBoot, before, clock.Now()));
  CHECK_FALSE(tracker.OnAnswer(kBoot + 1, clock.Now(), clock.Now()));
  CHECK_FALSE(tracker.OnAnswer(0, clock.Now(), clock.Now()));
}

}  // namespace
}  // namespace damaskroute
