#include "damaskroute/shares/warmth_tracker.h"

#include <algorithm>

namespace damaskroute {

int WarmthTracker::Start() const {
  return IsSecond() ? std::min(1, share_.slots) : share_.cold_slots;
}

void WarmthTracker::Restart(TimePoint now) {
  cold_since_ = now;
  first_answer_.reset();
  ramping_ = false;
  successes_ = 0;
  slow_answers_ = 0;
  usual_latency_.reset();
  granted_boot_ = 0;
  valid_until_ = TimePoint();
}

void WarmthTracker::SetShare(const Share& share, TimePoint now) {
  bool was_warm = Warm(now);
  bool had_share = share_.slots > 0;
  bool moved = had_share && share.first != share_.first;
  share_ = share;
  if (!had_share || (moved && !was_warm)) {
    Restart(now);
  } else if (moved && IsSecond()) {
    granted_boot_ = boot_id_;
    valid_until_ = last_warm_ + options_.validity;
  }
  allowed_ = std::max(allowed_, Start());
}

int WarmthTracker::Allowed(TimePoint now) const {
  if (IsSecond() && now >= valid_until_) return 0;
  bool start = !ramping_ || (!IsSecond() && Stale(now));
  return std::min(start ? Start() : allowed_, share_.slots);
}

bool WarmthTracker::Warm(TimePoint now) const {
  return share_.slots > 0 && ramping_ && !Stale(now) && Allowed(now) >= share_.slots;
}

bool WarmthTracker::SlowRun(Duration latency) {
  if (!usual_latency_) usual_latency_ = latency;
  if (latency > *usual_latency_ * options_.slow_factor) {
    return ++slow_answers_ >= options_.slow_run;
  }
  slow_answers_ = 0;
  usual_latency_ = (*usual_latency_ * 15 + latency) / 16;
  return false;
}

void WarmthTracker::Advance(TimePoint now) {
  ++successes_;
  if (!ramping_) {
    bool long_enough = now >= *first_answer_ + options_.warm_up;
    if (IsSecond() || !long_enough || successes_ < options_.successes_to_ramp) return;
    ramping_ = true;
    allowed_ = Start();
    successes_ = 0;
  } else if (successes_ >= allowed_) {
    allowed_ = std::min(allowed_ + 1, share_.slots);
    successes_ = 0;
  }
}

void WarmthTracker::OnAnswer(const WarmthEvidence& evidence, TimePoint now) {
  bool new_boot = boot_id_ != 0 && evidence.boot_id != boot_id_;
  boot_id_ = evidence.boot_id;
  bool slow_run = evidence.says_warm && !evidence.shed && SlowRun(now - evidence.started);
  if (new_boot || !evidence.says_warm || evidence.shed || slow_run) OnContrary(now);
  // An answer to a call from before the contrary evidence says nothing about the time after it.
  bool counts = evidence.started >= cold_since_;
  if (!first_answer_) first_answer_ = now;
  if (!counts || !evidence.says_warm || evidence.shed) return;
  last_warm_ = std::max(last_warm_, evidence.started);
  if (IsSecond() && granted_boot_ == evidence.boot_id) {
    valid_until_ = std::max(valid_until_, evidence.started + options_.validity);
  }
  Advance(now);
}

void WarmthTracker::OnContrary(TimePoint now) {
  Restart(now);
  if (IsSecond()) contrary_ = ++nonce_;
}

std::optional<WarmGrant> WarmthTracker::OnQuery(const WarmQuery& query, TimePoint now) {
  if (IsSecond()) return std::nullopt;
  if (query.contrary != 0 && query.contrary != seen_contrary_) {
    seen_contrary_ = query.contrary;
    Restart(now);
  }
  if (!Warm(now) || boot_id_ == 0) return std::nullopt;
  return WarmGrant{options_.backend, query.nonce, boot_id_,
                   std::chrono::duration_cast<std::chrono::milliseconds>(options_.validity)};
}

void WarmthTracker::OnGrant(const WarmGrant& grant, TimePoint now) {
  // Only the answer to the last query counts: earlier ones may not know of contrary evidence.
  if (!IsSecond() || grant.nonce != nonce_ || query_sent_ <= cold_since_) return;
  Duration validity = std::min<Duration>(grant.validity, options_.validity);
  bool continues = ramping_ && now < valid_until_ && granted_boot_ == grant.boot_id;
  granted_boot_ = grant.boot_id;
  valid_until_ = std::max(valid_until_, query_sent_ + validity);
  if (continues) return;
  if (boot_id_ == 0) boot_id_ = grant.boot_id;
  ramping_ = true;
  allowed_ = Start();
  successes_ = 0;
}

std::optional<WarmQuery> WarmthTracker::OnTimer(TimePoint now) {
  bool due =
      now >= query_sent_ + options_.query_period && valid_until_ < now + options_.renew_before;
  if (!IsSecond() || share_.slots == 0 || !due) return std::nullopt;
  query_sent_ = now;
  return WarmQuery{options_.backend, ++nonce_, contrary_};
}

}  // namespace damaskroute
