#include "damaskroute/forward/backend_evidence.h"

#include <algorithm>
#include <cmath>

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Weight of a new sample in the averages; about the last ten calls count.
constexpr double kSampleWeight = 0.15;

// Latency assumed of a server that has not answered yet.
constexpr milliseconds kUnknownLatency{15};

// A server is stalled after so many of its usual latencies of silence, and not before this time:
// scheduling delays of a few milliseconds are no pause.
constexpr double kStallLatencies = 2.2;
constexpr milliseconds kMinStall{15};

// Time constant with which old samples lose their say.
constexpr std::chrono::duration<double> kFade{2.0};

// A server that fails is avoided for this time, doubled with each failure in a row.
constexpr milliseconds kFirstAvoidance{200};
constexpr milliseconds kLongestAvoidance{1600};

// The same for one whose calls were cancelled without a sign of life: about the rest of a pause.
constexpr milliseconds kSilentAvoidance{100};

// A server that sheds load gets nothing for this time.
constexpr milliseconds kShedPause{30};

// Part of the calls in progress that is left after a shed call. Factors from 0.5 to 0.8 are usual.
constexpr double kRoomDecrease = 0.7;

double Fade(Duration age) {
  return std::exp(-std::chrono::duration<double>(age).count() / kFade.count());
}

}  // namespace

void BackendEvidence::OnSent(TimePoint now) { sent_.push_back(now); }

void BackendEvidence::OnEnded(TimePoint sent, EvidenceOf kind, Duration usual, TimePoint now) {
  bool silent = IsStalled(now);
  auto found = std::find(sent_.begin(), sent_.end(), sent);
  if (found != sent_.end()) sent_.erase(found);
  switch (kind) {
    case EvidenceOf::kAnswer:
      // Only room that is in use shows that there is more.
      if (outstanding() + 2 > room_) room_ += 1 / room_;
      last_heard_ = now;
      failures_in_a_row_ = 0;
      unreachable_ = false;
      avoid_until_ = TimePoint();
      AddLatency(now - sent, usual, now);
      AddOutcome(/*failed=*/false, now);
      return;
    case EvidenceOf::kShed:
      room_ = std::max(1.0, std::min(room_, outstanding() + 1.0) * kRoomDecrease);
      last_heard_ = now;
      AddOutcome(/*failed=*/true, now);
      avoid_until_ = std::max(avoid_until_, now + kShedPause);
      return;
    case EvidenceOf::kCancellation:
      if (now - sent > latency_) AddLatency(now - sent, usual, now);
      // Without this a silent server would look idle as soon as its last call is cancelled.
      if (silent) Avoid(kSilentAvoidance, now);
      return;
    case EvidenceOf::kFailure:
    case EvidenceOf::kUnreachable:
      last_heard_ = now;
      // A connection that breaks says nothing about the next one.
      if (kind == EvidenceOf::kUnreachable) unreachable_ = true;
      AddOutcome(/*failed=*/true, now);
      Avoid(kFirstAvoidance, now);
      return;
  }
}

void BackendEvidence::OnNotReached(TimePoint now) {
  unreachable_ = true;
  Avoid(kFirstAvoidance, now);
}

void BackendEvidence::OnReachable(TimePoint now) {
  if (!unreachable_) return;
  unreachable_ = false;
  failures_in_a_row_ = 0;
  last_heard_ = now;
  avoid_until_ = now;
}

void BackendEvidence::Avoid(milliseconds first, TimePoint now) {
  avoid_until_ = std::max<TimePoint>(avoid_until_,
                                     now + Doubled(first, failures_in_a_row_++, kLongestAvoidance));
}

TimePoint BackendEvidence::stalled_at() const {
  if (sent_.empty()) return TimePoint::max();
  Duration usual = std::max<Duration>(latency_, kUnknownLatency);
  auto silence = std::chrono::duration_cast<Duration>(usual * kStallLatencies);
  return std::max(sent_.front(), last_heard_) + std::max<Duration>(silence, kMinStall);
}

double BackendEvidence::Slowness(TimePoint now) const {
  if (slowness_ <= 1) return slowness_;
  return 1 + (slowness_ - 1) * Fade(now - last_sample_);
}

double BackendEvidence::FailureRate(TimePoint now) const {
  return failure_rate_ * Fade(now - last_outcome_);
}

void BackendEvidence::AddLatency(Duration latency, Duration usual, TimePoint now) {
  double slowness = std::chrono::duration<double>(latency) / std::chrono::duration<double>(usual);
  bool first = latency_ == Duration::zero();
  slowness_ = first ? slowness : Slowness(now) + (slowness - Slowness(now)) * kSampleWeight;
  latency_ =
      first ? latency
            : latency_ + std::chrono::duration_cast<Duration>((latency - latency_) * kSampleWeight);
  last_sample_ = now;
}

void BackendEvidence::AddOutcome(bool failed, TimePoint now) {
  failure_rate_ = FailureRate(now);
  last_outcome_ = now;
  failure_rate_ += ((failed ? 1.0 : 0.0) - failure_rate_) * kSampleWeight;
}

}  // namespace damaskroute
