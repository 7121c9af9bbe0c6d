#include "damaskroute/crashguard/loss_witness.h"

#include <doctest/doctest.h>

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootId kBoot = 7;

// Guards against a loss that is reported late, when its query ends, and is never refuted.
TEST_CASE("an answer to a later call of the same start refutes a crash once a second for a while") {
  ManualClock clock;
  clock.Advance(seconds(1));
  LossWitness witness;
  CHECK_FALSE(witness.OnAnswer(kBoot, clock.Now(), clock.Now()));
  witness.OnLoss(kBoot, clock.Now());
  clock.Advance(milliseconds(5));
  for (int second = 0; second < 5; ++second) {
    CHECK(witness.OnAnswer(kBoot, clock.Now(), clock.Now()));
    CHECK_FALSE(witness.OnAnswer(kBoot, clock.Now(), clock.Now()));
    clock.Advance(seconds(1));
  }
  CHECK_FALSE(witness.OnAnswer(kBoot, clock.Now(), clock.Now()));
}

// Guards against a real crash that is denied by an answer which left before it, or by the process
// that took the place of the one that crashed.
TEST_CASE("an answer to an earlier call or of another start refutes nothing") {
  ManualClock clock;
  clock.Advance(seconds(1));
  TimePoint before = clock.Now();
  clock.Advance(milliseconds(10));
  LossWitness witness;
  witness.OnLoss(kBoot, clock.Now());
  clock.Advance(milliseconds(10));
  CHECK_FALSE(witness.OnAnswer(kBoot, before, clock.Now()));
  CHECK_FALSE(witness.OnAnswer(kBoot + 1, clock.Now(), clock.Now()));
  CHECK_FALSE(witness.OnAnswer(0, clock.Now(), clock.Now()));
}

}  // namespace
}  // namespace damaskroute
