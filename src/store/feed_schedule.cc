#include "damaskroute/store/feed_schedule.h"

#include <algorithm>

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

// Consecutive failures that count as an outage; a single one may be a reset connection.
constexpr int kOutageFailures = 2;

// A single call that is overdue by this much counts as an outage as well.
constexpr std::chrono::milliseconds kOutageOverdue{1000};

// A followed node is not called if its data would be stale within this time.
constexpr std::chrono::milliseconds kMinFollowWait{200};

// Minimum time for which a followed node holds a call. It bounds the calls to a node whose own
// configuration is nearly too old.
constexpr std::chrono::milliseconds kMinFollowedHold{100};

}  // namespace

FeedStep FeedSchedule::Next(TimePoint now) const {
  FeedStep step;
  if (TimePoint until = PauseUntil(); now < until) {
    step.until = until;
    return step;
  }
  step.after_revision = revision_;
  if (ShouldFollow(now)) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(StaleAt() - now);
    step.kind = FeedStepKind::kFollow;
    step.relay = relay_index_;
    step.wait = std::min(options_.follow_wait, left);
    if (refresh_by_) {
      step.wait = std::max(LimitWait(step.wait, options_.slow_call, now),
                           std::min(kMinFollowedHold, step.wait));
    }
    step.timeout = step.wait + options_.follow_slack;
    return step;
  }
  step.after_key = after_key_;
  if (reading_) {
    step.kind = IsRefreshDue(now) ? FeedStepKind::kReadDirectives : FeedStepKind::kRead;
    step.timeout = options_.read_timeout;
    return step;
  }
  step.kind = directives_due_ ? FeedStepKind::kReadDirectives : FeedStepKind::kWatch;
  // The store must not hold a watch that may be the last of a backlog, so that the end is known at
  // once. Nor must it hold one after a failure: a watch sent just before the end of an outage may
  // never be answered, and only its deadline shows that.
  if (!behind_ && failures_ == 0) {
    step.wait = LimitWait(options_.watch_wait, options_.slow_call + options_.lost_call, now);
  }
  step.timeout =
      step.wait + ExponentialBackoff(options_.watch_slack, failures_, options_.max_watch_slack);
  return step;
}

TimePoint FeedSchedule::PauseUntil() const {
  if (!batching_) return retry_at_;
  TimePoint until = changed_at_ + (eager_ ? options_.eager_batch_delay : options_.batch_delay);
  if (refresh_by_) until = std::min<TimePoint>(until, *refresh_by_ - options_.slow_call);
  return std::max(retry_at_, until);
}

// Limits the time for which a call is held so that it ends `reserve` before the configuration
// reaches its maximum age.
std::chrono::milliseconds FeedSchedule::LimitWait(std::chrono::milliseconds wait, Duration reserve,
                                                  TimePoint now) const {
  if (!refresh_by_) return wait;
  auto left = std::chrono::floor<std::chrono::milliseconds>(*refresh_by_ - reserve - now);
  return std::clamp(left, std::chrono::milliseconds(0), wait);
}

// Whether the directives have to be read between the pages of a read of all items, which may take
// longer than the configuration may be old. Other pages are read in between in any case.
bool FeedSchedule::IsRefreshDue(TimePoint now) const {
  return refresh_by_ && !after_key_.empty() &&
         now + options_.slow_call + options_.lost_call >= *refresh_by_ &&
         now >= directives_at_ + options_.slow_call;
}

bool FeedSchedule::ShouldFollow(TimePoint now) const {
  return relay_count_ > 0 && !reading_ && !behind_ && !direct_once_ && now >= direct_until_ &&
         now + kMinFollowWait < StaleAt();
}

void FeedSchedule::SetRelays(std::size_t relay_count) {
  relay_count_ = relay_count;
  relay_index_ = 0;
  failed_relays_ = 0;
}

void FeedSchedule::OnRelayChanges(std::uint64_t as_of, Duration age, TimePoint now,
                                  bool is_certain) {
  revision_ = std::max(revision_, as_of);
  confirmed_at_ = std::max(confirmed_at_, now - age);
  // A relay that has lost the store keeps responding, with an increasing age.
  if (!is_certain || now + kMinFollowWait >= StaleAt()) return OnRelayFailure(now);
  failed_relays_ = 0;
  OnSuccess(now);
}

void FeedSchedule::OnRelayFailure(TimePoint now) {
  if (relay_count_ == 0) return;
  relay_index_ = (relay_index_ + 1) % relay_count_;
  if (++failed_relays_ < relay_count_) return;
  failed_relays_ = 0;
  direct_until_ = now + options_.direct_period;
}

void FeedSchedule::OnPage(const std::string& last_key, bool has_more, std::uint64_t as_of,
                          TimePoint now) {
  OnSuccess(now);
  if (after_key_.empty()) {
    first_as_of_ = as_of;
    confirmed_at_ = now;
  }
  after_key_ = has_more ? last_key : std::string();
  reading_ = has_more;
  if (!has_more) revision_ = first_as_of_;
}

void FeedSchedule::OnChanges(BatchSize batch, std::uint64_t as_of, TimePoint now) {
  OnSuccess(now);
  direct_once_ = false;
  revision_ = std::max(revision_, as_of);
  behind_ = batch.changes >= options_.large_batch || batch.bytes >= options_.large_batch_bytes;
  directives_due_ = behind_;
  // A page that is not the last one does not show the current state of the store.
  if (!behind_) confirmed_at_ = now;
  batching_ = batch.changes > 0 && !behind_;
  changed_at_ = now;
}

void FeedSchedule::OnDirectives(TimePoint now) {
  OnSuccess(now);
  directives_due_ = false;
  directives_at_ = now;
}

void FeedSchedule::OnHistoryLost(TimePoint now) {
  OnSuccess(now);
  reading_ = true;
  behind_ = directives_due_ = false;
  after_key_.clear();
}

FeedSchedule::EraOrder FeedSchedule::OnEra(std::uint64_t era, TimePoint now) {
  if (era == era_) return EraOrder::kCurrent;
  if (era < era_) return EraOrder::kOutdated;
  bool first = era_ == 0;
  era_ = era;
  if (first) return EraOrder::kCurrent;
  OnHistoryLost(now);
  revision_ = 0;
  direct_once_ = batching_ = false;
  recovering_until_ = now + options_.recovery_window;
  return EraOrder::kNew;
}

void FeedSchedule::OnFailure(Duration overdue, TimePoint now) {
  ++failures_;
  if (failures_ >= kOutageFailures || overdue >= kOutageOverdue) outage_ = true;
  // Pages read before and after a failure must not be combined.
  if (reading_) after_key_.clear();
  retry_at_ = now + Jittered(ExponentialBackoff(options_.initial_backoff, failures_ - 1,
                                                options_.max_backoff),
                             random_);
}

void FeedSchedule::OnSuccess(TimePoint now) {
  if (outage_) recovering_until_ = now + options_.recovery_window;
  outage_ = false;
  failures_ = 0;
}

}  // namespace damaskroute
