#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <vector>

#include "damaskroute/node/forward_server.h"
#include "damaskroute/store/feed_schedule.h"

// Guards against routes that are stale for longer than the limit after an outage of the store: a
// call that was sent while the store did not answer was given up only after the limit, as its
// deadline grew with each failure.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAnswerTime{16};  // Of a read of all items, the slowest call.

// A store that is 60 times slower than usual, where a watch takes 4 ms.
constexpr milliseconds kSlowWatch{240};
constexpr milliseconds kSlowRead{960};

FeedOptions OptionsFor(milliseconds contact_bound) {
  ForwardNodeSettings settings;
  settings.contact_bound = contact_bound;
  return MakeFeedOptions(settings);
}

// An outage: the store rejects calls for `busy_for`, then leaves them unanswered for `silent_for`.
// Calls that are in progress at the beginning fail as well.
struct Outage {
  milliseconds begin{};
  milliseconds busy_for{};
  milliseconds silent_for{};
};

// What a node does at the beginning of a run.
enum class Start : std::uint8_t { kWatching, kReading, kBehind };

// Runs a schedule on simulated time through an outage.
class OutageRun {
 public:
  OutageRun(const FeedOptions& options, const Outage& outage, std::uint64_t seed)
      : schedule_(options, seed),
        begin_(clock_.Now() + outage.begin),
        silent_at_(begin_ + outage.busy_for),
        end_(silent_at_ + outage.silent_for) {}

  // Returns the time from the end of the outage to the first response afterwards, which brings
  // all changes.
  Duration RunUntilAnswered(Start start) {
    if (start != Start::kReading) schedule_.OnPage("last", false, 7, clock_.Now());
    if (start == Start::kBehind) schedule_.OnChanges({500}, 507, clock_.Now());
    while (clock_.Now() < end_) RunStep();
    while (schedule_.Next(clock_.Now()).kind == FeedStepKind::kPause) RunStep();
    return clock_.Now() + kAnswerTime - end_;
  }

  // Times at which calls were sent.
  const std::vector<TimePoint>& sent() const { return sent_; }

 private:
  void RunStep() {
    TimePoint now = clock_.Now();
    FeedStep step = schedule_.Next(now);
    if (step.kind == FeedStepKind::kPause) return clock_.Advance(step.until - now);
    sent_.push_back(now);
    if (now < begin_) {
      TimePoint answered = now + step.wait + kAnswerTime;
      if (answered < begin_) return Answer(step, answered);
      // The store closes the connections of pending watches when it begins to reject calls.
      if (begin_ < silent_at_) return Fail(step, begin_);
    } else if (now < silent_at_) {
      return Fail(step, now + kAnswerTime);
    }
    Fail(step, now + step.timeout);
  }

  void Answer(const FeedStep& step, TimePoint at) {
    clock_.Advance(at - clock_.Now());
    if (step.kind == FeedStepKind::kRead) return schedule_.OnPage("last", false, 7, at);
    if (step.kind == FeedStepKind::kReadDirectives) return schedule_.OnDirectives(at);
    schedule_.OnChanges({0}, 7, at);
  }

  void Fail(const FeedStep& step, TimePoint at) {
    Duration overdue = at - clock_.Now() - step.wait;
    clock_.Advance(at - clock_.Now());
    schedule_.OnFailure(overdue, at);
  }

  ManualClock clock_;
  FeedSchedule schedule_;
  const TimePoint begin_;
  const TimePoint silent_at_;
  const TimePoint end_;
  std::vector<TimePoint> sent_;
};

// The longest delay over outages of up to 15 s that begin at any moment.
Duration LongestDelay(milliseconds contact_bound, Start start) {
  FeedOptions options = OptionsFor(contact_bound);
  Duration longest{};
  std::uint64_t seed = 0;
  for (milliseconds busy_for : {milliseconds(0), milliseconds(700), milliseconds(10'000)}) {
    for (milliseconds silent_for(100); silent_for <= seconds(15); silent_for += milliseconds(70)) {
      for (milliseconds begin(0); begin <= contact_bound; begin += milliseconds(130)) {
        OutageRun run(options, {begin, busy_for, silent_for}, ++seed);
        longest = std::max(longest, run.RunUntilAnswered(start));
      }
    }
  }
  return longest;
}

TEST_CASE("changes are known within the limit after an outage, however long and whenever it was") {
  for (int contact_ms : {1000, 1500, 2000, 3000, 4000, 5000, 10'000}) {
    milliseconds bound(contact_ms);
    CAPTURE(contact_ms);
    CHECK(LongestDelay(bound, Start::kWatching) < bound);
    CHECK(LongestDelay(bound, Start::kBehind) < bound);
  }
}

// With a limit of 1 s, the store could not be read while it is slow.
TEST_CASE("items are read again within the limit after an outage") {
  for (int contact_ms : {1500, 2000, 3000, 4000, 5000, 10'000}) {
    CAPTURE(contact_ms);
    CHECK(LongestDelay(milliseconds(contact_ms), Start::kReading) < milliseconds(contact_ms));
  }
}

// Guards against a node that gives up every call to a slow store.
TEST_CASE("calls to a slow store get the time to be answered, after any number of failures") {
  for (int contact_ms : {1000, 1500, 2000, 3000, 4000, 5000, 10'000}) {
    CAPTURE(contact_ms);
    FeedSchedule reading(OptionsFor(milliseconds(contact_ms)), 1);
    FeedSchedule watching = reading;
    ManualClock clock;
    watching.OnPage("last", false, 7, clock.Now());
    for (int failures = 0; failures < 20; ++failures) {
      FeedStep read = reading.Next(clock.Now());
      REQUIRE(read.kind == FeedStepKind::kRead);
      CHECK(read.timeout > kSlowRead);
      FeedStep watch = watching.Next(clock.Now());
      REQUIRE(watch.kind == FeedStepKind::kWatch);
      CHECK(watch.timeout - watch.wait > kSlowWatch);
      for (FeedSchedule* schedule : {&reading, &watching}) {
        schedule->OnFailure(seconds(1), clock.Now());
      }
      clock.Advance(seconds(1));
    }
  }
}

// Calls to the store are priced, and many nodes wait for its return.
TEST_CASE("an unresponsive store is called at most once a second by a node, on average") {
  for (int contact_ms : {2000, 4000, 5000}) {
    CAPTURE(contact_ms);
    constexpr seconds kOutage{60};
    OutageRun run(OptionsFor(milliseconds(contact_ms)), {.silent_for = kOutage}, 1);
    run.RunUntilAnswered(Start::kWatching);
    CHECK(run.sent().size() <= kOutage.count());
  }
}

// Guards against nodes that call the store at the same moment when it returns, because a change
// had ended their watches at the same moment before.
TEST_CASE("nodes whose calls failed at the same time do not repeat them at the same time") {
  constexpr int kNodes = 100;
  std::vector<std::vector<TimePoint>> sent;
  for (int node = 0; node < kNodes; ++node) {
    OutageRun run(OptionsFor(seconds(4)), {.silent_for = seconds(20)},
                  static_cast<std::uint64_t>(node));
    run.RunUntilAnswered(Start::kWatching);
    sent.push_back(run.sent());
  }
  for (std::size_t call = 1; call < 5; ++call) {
    std::multiset<TimePoint> times;
    for (const auto& node : sent) times.insert(node.at(call));
    std::ptrdiff_t most = 0;
    for (TimePoint time : times) {
      auto end = times.upper_bound(time + milliseconds(10));
      most = std::max(most, std::distance(times.lower_bound(time), end));
    }
    CHECK(most < kNodes / 2);
  }
}

}  // namespace
}  // namespace damaskroute
