#include "damaskroute/forward/given_up_calls.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <utility>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) { return TimePoint(std::chrono::hours(1)) + milliseconds(ms); }

GivenUpCall CallTo(std::shared_ptr<Backend> backend, int sent, int ended) {
  return {std::move(backend), {}, "r", At(sent), At(ended)};
}

TEST_CASE("a call is due for a check some time after it was given up") {
  GivenUpCalls calls;
  CHECK(calls.next_due() == TimePoint::max());
  auto backend = std::make_shared<Backend>();
  calls.Add(CallTo(backend, 0, 10));
  calls.Add(CallTo(backend, 0, 20));
  TimePoint due = At(10) + GivenUpCalls::kCheckDelays.front();
  CHECK(calls.next_due() == due);
  CHECK(calls.TakeDue(due - milliseconds(1)).empty());
  CHECK(calls.TakeDue(due).size() == 1);
  CHECK(calls.TakeDue(due + milliseconds(10)).size() == 1);
  CHECK(calls.next_due() == TimePoint::max());
}

// Guards against a crash that is noticed only after the last check, or never.
TEST_CASE("a call is checked again until the last check") {
  GivenUpCalls calls;
  auto backend = std::make_shared<Backend>();
  calls.Add(CallTo(backend, 0, 10));
  for (auto delay : GivenUpCalls::kCheckDelays) {
    CHECK(calls.next_due() == At(10) + delay);
    CHECK(calls.TakeDue(At(10) + delay - milliseconds(1)).empty());
    auto due = calls.TakeDue(At(10) + delay);
    REQUIRE(due.size() == 1);
    calls.Add(CallTo(backend, 0, 5000));  // Does not delay the checks of other calls.
    calls.AddChecked(due.front());
  }
  CHECK(calls.next_due() == At(5000) + GivenUpCalls::kCheckDelays.front());
}

// Guards against memory that grows with the callers that leave.
TEST_CASE("the number of remembered calls is bounded") {
  GivenUpCalls calls;
  auto backend = std::make_shared<Backend>();
  int count = static_cast<int>(GivenUpCalls::kMaxCalls) + 10;
  for (int i = 0; i < count; ++i) {
    GivenUpCall call = CallTo(backend, 0, i);
    for (; call.checks < GivenUpCalls::kCheckDelays.size(); ++call.checks) calls.Add(call);
  }
  CHECK(calls.TakeDue(At(count) + GivenUpCalls::kCheckDelays.back()).size() ==
        GivenUpCalls::kMaxCalls);
}

TEST_CASE("a server whose entry is gone or that lost a connection since is lost") {
  auto backend = std::make_shared<Backend>();
  GivenUpCall call = CallTo(backend, 0, 100);
  backend->lost_at = At(50);  // During another call, before this one was given up.
  CHECK(GivenUpCalls::FateOf(call) == ServerFate::kUnknown);
  SUBCASE("connection lost") { backend->lost_at = At(150); }
  SUBCASE("entry gone") { backend->gone = true; }
  CHECK(GivenUpCalls::FateOf(call) == ServerFate::kLost);
}

TEST_CASE("a server that answered a later call or left as planned is not lost") {
  auto backend = std::make_shared<Backend>();
  GivenUpCall call = CallTo(backend, 0, 100);
  backend->gone = true;
  backend->lost_at = At(150);
  SUBCASE("answered") { backend->answered_at = At(100); }
  SUBCASE("reports that it leaves") { backend->leaving = true; }
  SUBCASE("drains") { backend->entry.draining = true; }
  CHECK(GivenUpCalls::FateOf(call) == ServerFate::kAlive);
}

}  // namespace
}  // namespace damaskroute
