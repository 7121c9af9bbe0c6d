#include "damaskroute/forward/backend_call_stats.h"

#include <algorithm>
#include <cmath>

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Weight of a new sample in the averages; about the last ten calls count.
constexpr double kSampleWeight = 0.15;

// Latency assumed for a server without samples.
constexpr milliseconds kDefaultLatency{15};

// A server is stalled after this multiple of its mean latency without a response, and not before
// the minimum: scheduling delays of a few milliseconds are not a pause.
constexpr double kStallLatencyFactor = 2.2;
constexpr milliseconds kMinStall{15};

// Time constant with which the weight of old samples decays.
constexpr std::chrono::duration<double> kDecayTime{2.0};

// A server that fails is avoided for this time, doubled with each consecutive failure.
constexpr milliseconds kMinAvoidance{200};
constexpr milliseconds kMaxAvoidance{1600};

// Initial avoidance of an unresponsive server whose call was cancelled: about the remaining time of
// a pause.
constexpr milliseconds kStalledAvoidance{100};

// A server that sheds a call receives no calls for this time.
constexpr milliseconds kShedAvoidance{30};

// Factor of the concurrency limit after a shed call. Factors from 0.5 to 0.8 are common.
constexpr double kCapacityDecreaseFactor = 0.7;

double Decay(Duration age) {
  return std::exp(-std::chrono::duration<double>(age).count() / kDecayTime.count());
}

}  // namespace

void BackendCallStats::OnSent(TimePoint now) { sent_.push_back(now); }

void BackendCallStats::OnEnded(TimePoint sent, CallObservation observation, Duration mean_latency,
                               TimePoint now) {
  bool stalled = IsStalled(now);
  auto found = std::find(sent_.begin(), sent_.end(), sent);
  if (found != sent_.end()) sent_.erase(found);
  switch (observation) {
    case CallObservation::kAnswer:
      // The limit grows only while it is in use.
      if (outstanding() + 2 > capacity_) capacity_ += 1 / capacity_;
      last_response_ = now;
      consecutive_failures_ = 0;
      unreachable_ = false;
      avoid_until_ = TimePoint();
      AddLatency(now - sent, mean_latency, now);
      AddOutcome(/*failed=*/false, now);
      return;
    case CallObservation::kShed:
      capacity_ = std::max(1.0, std::min(capacity_, outstanding() + 1.0) * kCapacityDecreaseFactor);
      last_response_ = now;
      AddOutcome(/*failed=*/true, now);
      avoid_until_ = std::max(avoid_until_, now + kShedAvoidance);
      return;
    case CallObservation::kCancellation:
      if (now - sent > latency_) AddLatency(now - sent, mean_latency, now);
      // Otherwise an unresponsive server would look idle as soon as its last call is cancelled.
      if (stalled) Avoid(kStalledAvoidance, now);
      return;
    case CallObservation::kFailure:
    case CallObservation::kUnreachable:
      last_response_ = now;
      // A broken connection does not show that the next attempt to connect will succeed, so
      // `unreachable_` stays.
      if (observation == CallObservation::kUnreachable) unreachable_ = true;
      AddOutcome(/*failed=*/true, now);
      Avoid(kMinAvoidance, now);
      return;
  }
}

void BackendCallStats::OnConnectFailure(TimePoint now) {
  unreachable_ = true;
  Avoid(kMinAvoidance, now);
}

void BackendCallStats::OnReachable(TimePoint now) {
  if (!unreachable_) return;
  unreachable_ = false;
  consecutive_failures_ = 0;
  last_response_ = now;
  avoid_until_ = now;
}

void BackendCallStats::Avoid(milliseconds first, TimePoint now) {
  avoid_until_ = std::max<TimePoint>(
      avoid_until_, now + ExponentialBackoff(first, consecutive_failures_++, kMaxAvoidance));
}

TimePoint BackendCallStats::stalled_at() const {
  if (sent_.empty()) return TimePoint::max();
  Duration expected = std::max<Duration>(latency_, kDefaultLatency);
  auto stall_time = std::chrono::duration_cast<Duration>(expected * kStallLatencyFactor);
  return std::max(sent_.front(), last_response_) + std::max<Duration>(stall_time, kMinStall);
}

double BackendCallStats::Slowness(TimePoint now) const {
  if (slowness_ <= 1) return slowness_;
  return 1 + (slowness_ - 1) * Decay(now - last_sample_);
}

double BackendCallStats::FailureRate(TimePoint now) const {
  return failure_rate_ * Decay(now - last_outcome_);
}

void BackendCallStats::AddLatency(Duration latency, Duration mean_latency, TimePoint now) {
  double slowness =
      std::chrono::duration<double>(latency) / std::chrono::duration<double>(mean_latency);
  bool first = latency_ == Duration::zero();
  slowness_ = first ? slowness : Slowness(now) + (slowness - Slowness(now)) * kSampleWeight;
  latency_ =
      first ? latency
            : latency_ + std::chrono::duration_cast<Duration>((latency - latency_) * kSampleWeight);
  last_sample_ = now;
}

void BackendCallStats::AddOutcome(bool failed, TimePoint now) {
  failure_rate_ = FailureRate(now);
  last_outcome_ = now;
  failure_rate_ += ((failed ? 1.0 : 0.0) - failure_rate_) * kSampleWeight;
}

}  // namespace damaskroute
