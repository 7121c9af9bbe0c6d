#include "damaskroute/forward/retry_after_policy.h"

#include <algorithm>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Range of Retry-After as fractions of the time left. Callers honour up to a third of it; the rest
// covers the time that the refusal takes to the caller.
constexpr double kMinFraction = 0.15;
constexpr double kMaxFraction = 0.3;

// A retry sooner than this meets the same load, and a load spike changes within a second. Half of
// the maximum for callers with much time, so that their retries are spread as well.
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{1000};

// Shortest wait that makes sense: about the work of one query.
constexpr milliseconds kMinWait{20};

Duration Fraction(Duration whole, double fraction) {
  return std::chrono::duration_cast<Duration>(whole * fraction);
}

}  // namespace

milliseconds RetryAfterPolicy::Choose(Duration time_left, Duration answer_time, TimePoint now) {
  time_left = std::max(time_left, Duration::zero());
  Duration latest = std::min<Duration>(Fraction(time_left, kMaxFraction), kMaxRetryAfter);
  // Without enough time for both the wait and the answer, the retry is not sent at once: it would
  // meet the same load.
  if (time_left - answer_time >= kMinWait) latest = std::min(latest, time_left - answer_time);
  Duration earliest = std::min<Duration>(Fraction(time_left, kMinFraction), kMaxRetryAfter / 2);
  earliest = std::min(std::max<Duration>(earliest, kMinRetryAfter), latest);
  ClearPastSlots(now);
  auto random_time = [&] {
    return std::chrono::floor<milliseconds>(earliest +
                                            Fraction(latest - earliest, random_.NextDouble()));
  };
  milliseconds chosen = random_time();
  milliseconds other = random_time();
  if (SlotAt(now + other) < SlotAt(now + chosen)) chosen = other;
  ++SlotAt(now + chosen);
  // Zero would mean no Retry-After, and the caller would retry at once.
  return std::max(chosen, milliseconds(1));
}

std::uint32_t& RetryAfterPolicy::SlotAt(TimePoint at) {
  return returns_[static_cast<std::size_t>(at.time_since_epoch() / kSlot) % kSlots];
}

void RetryAfterPolicy::ClearPastSlots(TimePoint now) {
  std::int64_t current = now.time_since_epoch() / kSlot;
  std::int64_t past = std::min<std::int64_t>(current - first_slot_, kSlots);
  for (std::int64_t i = 0; i < past; ++i) {
    returns_[static_cast<std::size_t>(first_slot_ + i) % kSlots] = 0;
  }
  first_slot_ = current;
}

}  // namespace damaskroute
