#include "damaskroute/forward/processor_limit.h"

#include <algorithm>

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Processor time of one call on a full core: writing the request, reading and checking the
// response. An estimate; if it is too high, timers that fire in time prevent refusals.
constexpr microseconds kTimePerCall{100};

// Of this, merging the part and ending the call, and what `MakeQuerySpec` reserves for it.
constexpr microseconds kMergeTimePerPart{20};
constexpr microseconds kReservedMergeTime{60};

// Timers of a node with processor time to spare are expected to be late by less than this.
constexpr milliseconds kBusyTimerDelay{20};

// Smaller quotas are taken for this one, so that times stay in range.
constexpr double kMinCpuQuota = 0.01;

}  // namespace

ProcessorLimit::ProcessorLimit(std::optional<double> cpu_quota) {
  if (cpu_quota) cpu_quota_ = std::max(*cpu_quota, kMinCpuQuota);
}

Duration ProcessorLimit::TimeFor(std::size_t calls) const {
  return std::chrono::duration_cast<Duration>(static_cast<double>(calls) * kTimePerCall /
                                              *cpu_quota_);
}

// Queries that have ended need no more time, whatever was estimated.
Duration ProcessorLimit::Backlog(TimePoint now) const {
  return std::clamp(done_at_ - now, Duration::zero(), TimeFor(unfinished_calls_));
}

bool ProcessorLimit::Allows(std::size_t calls, Duration time_left, Duration timer_delay,
                            TimePoint now) const {
  if (!cpu_quota_ || timer_delay < kBusyTimerDelay) return true;
  Duration backlog = Backlog(now);
  return backlog == Duration::zero() || backlog + TimeFor(calls) <= time_left;
}

void ProcessorLimit::OnStarted(std::size_t calls, TimePoint now) {
  if (cpu_quota_) done_at_ = now + Backlog(now) + TimeFor(calls);
  unfinished_calls_ += calls;
}

Duration ProcessorLimit::ExtraMergeTime(std::size_t parts, Duration timer_delay) const {
  if (!cpu_quota_ || timer_delay < kBusyTimerDelay) return {};
  auto per_part = std::chrono::duration_cast<Duration>(kMergeTimePerPart / *cpu_quota_);
  return std::max<Duration>(per_part - kReservedMergeTime, Duration::zero()) *
         static_cast<Duration::rep>(parts);
}

}  // namespace damaskroute
