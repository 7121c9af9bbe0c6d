#ifndef DAMASKROUTE_FORWARD_RETRY_AFTER_POLICY_H_
#define DAMASKROUTE_FORWARD_RETRY_AFTER_POLICY_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Sets the Retry-After of requests that are refused because of too much load. Callers honour up to
/// a third of the time that they have left. Spreads the retries evenly: of two random times it
/// takes the one at which fewer callers were told to return (Mitzenmacher, "The power of two
/// choices in randomized load balancing", 2001).
class RetryAfterPolicy {
 public:
  explicit RetryAfterPolicy(std::uint64_t seed) : random_(seed) {}

  /// Retry-After for a caller that waits for `time_left` more. `answer_time`: time in which a retry
  /// is answered; the retry is sent so early that it fits, if that is possible.
  std::chrono::milliseconds Choose(Duration time_left, Duration answer_time, TimePoint now);

 private:
  static constexpr std::chrono::milliseconds kSlot{10};
  // Covers the longest Retry-After.
  static constexpr std::size_t kSlots = 128;

  std::uint32_t& SlotAt(TimePoint at);
  void ClearPastSlots(TimePoint now);

  Random random_;
  std::array<std::uint32_t, kSlots>
      returns_{};                // Callers told to return, by time modulo the array.
  std::int64_t first_slot_ = 0;  // Number of the earliest slot since the epoch.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_RETRY_AFTER_POLICY_H_
