#include "tests/support/rollout_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

// How often the verdict on a version is right, and how many requests a bad version gets, over many
// seeds. `ROLLOUT_SEEDS` sets the number of seeds; the default keeps the test short.

namespace damaskroute {
namespace {

struct Outcome {
  int runs = 0;
  int right = 0;
  int over_limit = 0;
  int late_requests = 0;  // Runs with a request more than 5 s after the 50th bad response.
  int after_final = 0;    // Requests to the wrong version after the final state was stored.
  double target_share = 0;
};

int Seeds() {
  const char* text = std::getenv("ROLLOUT_SEEDS");
  return text == nullptr ? 20 : std::atoi(text);
}

Outcome RunAll(VersionKind kind, double rate, std::chrono::milliseconds duration) {
  Outcome outcome;
  for (int seed = 1; seed <= Seeds(); ++seed) {
    RolloutScenario scenario{kind, rate, duration};
    scenario.seed = static_cast<std::uint64_t>(seed);
    scenario.slow_day = seed % 3 == 0;
    RolloutSimulation simulation(scenario);
    simulation.Order("v2");
    simulation.RunToDeadline();
    bool good = kind == VersionKind::kGood;
    bool right = simulation.Ended(good ? RolloutState::kSucceeded : RolloutState::kRolledBack);
    ++outcome.runs;
    outcome.right += right ? 1 : 0;
    outcome.over_limit +=
        !good && simulation.target_requests > simulation.MaxTargetRequests() ? 1 : 0;
    outcome.late_requests += simulation.last_target_after_50th > std::chrono::seconds(5) ? 1 : 0;
    outcome.after_final += simulation.target_after_rollback + simulation.old_after_success;
    outcome.target_share += 1.0 * simulation.target_requests / simulation.requests;
  }
  return outcome;
}

// Guards against verdicts that are often wrong, and against a bad version that gets more than its
// share or gets requests after the decision.
TEST_CASE("good versions are promoted and bad ones rolled back") {
  const std::map<VersionKind, const char*> kinds = {
      {VersionKind::kGood, "good"},
      {VersionKind::kBadAtOnce, "bad at once"},
      {VersionKind::kBadLate, "bad late"},
      {VersionKind::kBadUnderLoad, "bad under load"},
      {VersionKind::kBadOnOneRoute, "bad on one route"},
      {VersionKind::kSlow, "slow only"}};
  for (double rate : {8.0, 40.0}) {
    for (int seconds : {12, 60}) {
      for (const auto& [kind, name] : kinds) {
        Outcome outcome = RunAll(kind, rate, std::chrono::seconds(seconds));
        fmt::print(
            "{:>3}/s {:>3} s {:<17} right {:>3} of {}, over the limit {:>3}, late {:>3}, after the "
            "end {:>3}, mean share {:.3f}\n",
            rate, seconds, name, outcome.right, outcome.runs, outcome.over_limit,
            outcome.late_requests, outcome.after_final, outcome.target_share / outcome.runs);
        CAPTURE(name);
        CAPTURE(rate);
        CAPTURE(seconds);
        // With about 20 responses of the new version, some verdicts are wrong.
        bool few_requests = rate == 8 && seconds == 12;
        CHECK(outcome.right >= (few_requests ? 0.75 : 0.9) * outcome.runs);
        CHECK(outcome.after_final == 0);
        CHECK(outcome.late_requests == 0);
      }
    }
  }
}

}  // namespace
}  // namespace damaskroute
