#include "damaskroute/shares/warmth_tracker.h"

#include <algorithm>

namespace damaskroute {

int WarmthTracker::InitialLimit() const {
  return IsSecondHolder() ? std::min(1, share_.slots) : share_.cold_slots;
}

void WarmthTracker::ResetToCold(TimePoint now) {
  cold_since_ = now;
  first_answer_.reset();
  ramping_ = false;
  warm_answers_ = 0;
  slow_answers_ = 0;
  usual_latency_.reset();
  granted_boot_ = 0;
  valid_until_ = TimePoint();
}

void WarmthTracker::SetShare(const Share& share, TimePoint now) {
  bool was_warm = IsWarm(now);
  bool had_share = share_.slots > 0;
  bool half_changed = had_share && share.first != share_.first;
  share_ = share;
  if (!had_share || (half_changed && !was_warm)) {
    ResetToCold(now);
  } else if (half_changed && IsSecondHolder()) {
    granted_boot_ = boot_id_;
    valid_until_ = last_warm_ + options_.validity;
  }
  call_limit_ = std::max(call_limit_, InitialLimit());
}

int WarmthTracker::CallLimit(TimePoint now) const {
  if (IsSecondHolder() && now >= valid_until_) return 0;
  bool at_initial_limit = !ramping_ || (!IsSecondHolder() && IsStale(now));
  return std::min(at_initial_limit ? InitialLimit() : call_limit_, share_.slots);
}

bool WarmthTracker::IsWarm(TimePoint now) const {
  return share_.slots > 0 && ramping_ && !IsStale(now) && CallLimit(now) >= share_.slots;
}

bool WarmthTracker::DetectSlowRun(Duration latency) {
  if (!usual_latency_) usual_latency_ = latency;
  if (latency > *usual_latency_ * options_.slow_factor) {
    return ++slow_answers_ >= options_.slow_run;
  }
  slow_answers_ = 0;
  usual_latency_ = (*usual_latency_ * 15 + latency) / 16;
  return false;
}

void WarmthTracker::RampUp(TimePoint now) {
  ++warm_answers_;
  if (!ramping_) {
    bool long_enough = now >= *first_answer_ + options_.warm_up;
    if (IsSecondHolder() || !long_enough || warm_answers_ < options_.successes_to_ramp) return;
    ramping_ = true;
    call_limit_ = InitialLimit();
    warm_answers_ = 0;
  } else if (warm_answers_ >= call_limit_) {
    call_limit_ = std::min(call_limit_ + 1, share_.slots);
    warm_answers_ = 0;
  }
}

void WarmthTracker::OnAnswer(const WarmthObservation& observation, TimePoint now) {
  bool new_boot = boot_id_ != 0 && observation.boot_id != boot_id_;
  boot_id_ = observation.boot_id;
  bool slow_run =
      observation.reported_warm && !observation.shed && DetectSlowRun(now - observation.started);
  if (new_boot || !observation.reported_warm || observation.shed || slow_run) {
    OnColdObservation(now);
  }
  // An answer to a call sent before the cold observation does not show the state after it.
  bool counts = observation.started >= cold_since_;
  if (!first_answer_) first_answer_ = now;
  if (!counts || !observation.reported_warm || observation.shed) return;
  last_warm_ = std::max(last_warm_, observation.started);
  if (IsSecondHolder() && granted_boot_ == observation.boot_id) {
    valid_until_ = std::max(valid_until_, observation.started + options_.validity);
  }
  RampUp(now);
}

void WarmthTracker::OnColdObservation(TimePoint now) {
  ResetToCold(now);
  if (IsSecondHolder()) cold_observation_id_ = ++nonce_;
}

std::optional<WarmGrant> WarmthTracker::OnQuery(const WarmQuery& query, TimePoint now) {
  if (IsSecondHolder()) return std::nullopt;
  if (query.cold_observation_id != 0 && query.cold_observation_id != peer_cold_observation_id_) {
    peer_cold_observation_id_ = query.cold_observation_id;
    ResetToCold(now);
  }
  if (!IsWarm(now) || boot_id_ == 0) return std::nullopt;
  return WarmGrant{options_.backend, query.nonce, boot_id_,
                   std::chrono::duration_cast<std::chrono::milliseconds>(options_.validity)};
}

void WarmthTracker::OnGrant(const WarmGrant& grant, TimePoint now) {
  // Only the reply to the last query is valid: earlier ones may predate a cold observation.
  if (!IsSecondHolder() || grant.nonce != nonce_ || query_sent_ <= cold_since_) return;
  Duration validity = std::min<Duration>(grant.validity, options_.validity);
  bool continues = ramping_ && now < valid_until_ && granted_boot_ == grant.boot_id;
  granted_boot_ = grant.boot_id;
  valid_until_ = std::max(valid_until_, query_sent_ + validity);
  if (continues) return;
  if (boot_id_ == 0) boot_id_ = grant.boot_id;
  ramping_ = true;
  call_limit_ = InitialLimit();
  warm_answers_ = 0;
}

std::optional<WarmQuery> WarmthTracker::OnTimer(TimePoint now) {
  bool due =
      now >= query_sent_ + options_.query_period && valid_until_ < now + options_.renew_before;
  if (!IsSecondHolder() || share_.slots == 0 || !due) return std::nullopt;
  query_sent_ = now;
  return WarmQuery{options_.backend, ++nonce_, cold_observation_id_};
}

}  // namespace damaskroute
