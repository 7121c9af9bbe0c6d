#include "damaskroute/store/feed_schedule.h"

#include <algorithm>

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

// Failures in a row that make an outage; a single one may be a reset connection.
constexpr int kOutageFailures = 2;

// A single call that was left without an answer for so long is an outage as well.
constexpr std::chrono::milliseconds kSilence{1000};

// A call to a followed node is not worth while with less time than this until its answer is stale.
constexpr std::chrono::milliseconds kLeastFollow{200};

}  // namespace

FeedStep FeedSchedule::Next(TimePoint now) const {
  FeedStep step;
  if (TimePoint until = PauseUntil(); now < until) {
    step.until = until;
    return step;
  }
  step.after_revision = revision_;
  if (Follows(now)) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(StaleAt() - now);
    step.kind = FeedStepKind::kFollow;
    step.relay = relay_;
    step.wait = std::min(options_.follow_wait, left);
    step.timeout = step.wait + options_.follow_slack;
    return step;
  }
  step.after_key = after_key_;
  if (reading_) {
    step.kind = FeedStepKind::kRead;
    step.timeout = options_.read_timeout;
    return step;
  }
  step.kind = orders_due_ ? FeedStepKind::kReadOrders : FeedStepKind::kWatch;
  // A watch that may be the last one of a backlog is not held, so that its end is known at once.
  if (!behind_) step.wait = options_.watch_wait;
  step.timeout = step.wait + Doubled(options_.watch_slack, failures_, options_.read_timeout);
  return step;
}

TimePoint FeedSchedule::PauseUntil() const {
  if (!gathering_) return retry_at_;
  return std::max<TimePoint>(retry_at_,
                             changed_at_ + (eager_ ? options_.eager_gather : options_.gather));
}

bool FeedSchedule::Follows(TimePoint now) const {
  return relays_ > 0 && !reading_ && !behind_ && !direct_once_ && now >= direct_until_ &&
         now + kLeastFollow < StaleAt();
}

void FeedSchedule::SetRelays(std::size_t relays) {
  relays_ = relays;
  relay_ = 0;
  failed_relays_ = 0;
}

void FeedSchedule::OnFollowed(std::uint64_t as_of, Duration age, TimePoint now) {
  revision_ = std::max(revision_, as_of);
  confirmed_ = std::max(confirmed_, now - age);
  // One that has lost the store itself answers as well, with an ever greater age.
  if (now + kLeastFollow >= StaleAt()) return OnFollowFailure(now);
  failed_relays_ = 0;
  OnSuccess(now);
}

void FeedSchedule::OnFollowFailure(TimePoint now) {
  if (relays_ == 0) return;
  relay_ = (relay_ + 1) % relays_;
  if (++failed_relays_ < relays_) return;
  failed_relays_ = 0;
  direct_until_ = now + options_.direct_time;
}

void FeedSchedule::OnPage(const std::string& last_key, bool has_more, std::uint64_t as_of,
                          TimePoint now) {
  OnSuccess(now);
  if (after_key_.empty()) {
    first_as_of_ = as_of;
    confirmed_ = now;
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
  orders_due_ = behind_;
  // A page that leaves changes behind does not show what the store holds now.
  if (!behind_) confirmed_ = now;
  gathering_ = batch.changes > 0 && !behind_;
  changed_at_ = now;
}

void FeedSchedule::OnOrders(TimePoint now) {
  OnSuccess(now);
  orders_due_ = false;
}

void FeedSchedule::OnHistoryLost(TimePoint now) {
  OnSuccess(now);
  reading_ = true;
  behind_ = orders_due_ = false;
  after_key_.clear();
}

void FeedSchedule::OnFailure(Duration silence, TimePoint now) {
  ++failures_;
  if (failures_ >= kOutageFailures || silence >= kSilence) outage_ = true;
  // Pages of different times do not fit together.
  if (reading_) after_key_.clear();
  retry_at_ =
      now + Jittered(Doubled(options_.first_pause, failures_ - 1, options_.longest_pause), random_);
}

void FeedSchedule::OnSuccess(TimePoint now) {
  if (outage_) returned_until_ = now + options_.return_window;
  outage_ = false;
  failures_ = 0;
}

}  // namespace damaskroute
