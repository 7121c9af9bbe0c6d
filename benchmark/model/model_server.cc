#include "benchmark/model/model_server.h"

#include <algorithm>
#include <utility>

#include "damaskroute/forward/backend_rate_limit.h"

namespace damaskroute::model {

namespace {

constexpr std::chrono::seconds kWindow = BackendRateLimit::kWindow;

// Lowest rate that a server states.
constexpr double kMinRateLimit = 1;

// Time after which a server expects all nodes to keep to its rate limit.
constexpr std::chrono::milliseconds kRateLimitGrace{500};

}  // namespace

void ModelServer::SetUnresponsive(bool unresponsive) {
  unresponsive_ = unresponsive;
  running_.clear();
  waiting_.clear();
}

void ModelServer::SetRateLimit(double factor) {
  rate_limit_.reset();
  if (factor <= 0) return;
  auto calls = static_cast<double>(arrivals_.size());
  rate_limit_ = std::max(factor * calls / static_cast<double>(kWindow.count()), kMinRateLimit);
  judged_from_ = events_.Now() + kRateLimitGrace;
  arrivals_.clear();
}

// Counts calls as `BackendRateLimit` describes it.
void ModelServer::RecordArrival() {
  TimePoint now = events_.Now();
  if (rate_limit_ && now < judged_from_) return;
  while (!arrivals_.empty() && arrivals_.front() + kWindow <= now) arrivals_.pop_front();
  arrivals_.push_back(now);
  if (!rate_limit_) return;
  double allowed =
      *rate_limit_ * BackendRateLimit::kOvershoot * static_cast<double>(kWindow.count()) +
      BackendRateLimit::kSlack;
  if (static_cast<double>(arrivals_.size()) > allowed) ++over_rate_limit_;
}

void ModelServer::Submit(std::uint64_t call, Duration work, Done done) {
  if (unresponsive_) return;
  RecordArrival();
  if (static_cast<int>(waiting_.size()) >= day_.queue_limit) return done(End::kShed);
  waiting_.push_back({call, work, std::move(done)});
  StartNext();
}

void ModelServer::Cancel(std::uint64_t call) {
  std::erase_if(waiting_, [call](const Job& job) { return job.call == call; });
  running_.erase(call);
  StartNext();
}

void ModelServer::StartNext() {
  while (!waiting_.empty() && static_cast<int>(running_.size()) < day_.slots) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    running_.emplace(job.call, std::move(job.done));
    events_.ScheduleAt(FinishTime(job.work), [this, call = job.call] { Finish(call); });
  }
}

void ModelServer::Finish(std::uint64_t call) {
  auto found = running_.find(call);
  if (found == running_.end()) return;
  Done done = std::move(found->second);
  running_.erase(found);
  StartNext();
  done(End::kAnswered);
}

// Each pause that falls into the work delays its end.
TimePoint ModelServer::FinishTime(Duration work) const {
  auto left = std::chrono::duration_cast<Duration>(work * slowness_);
  TimePoint now = events_.Now();
  if (day_.pause_interval.count() == 0) return now + left;
  Duration every = day_.pause_interval;
  while (true) {
    // Time since the last pause began. Before the first pause, a virtual earlier one is assumed.
    Duration since = ((now - phase_) % every + every) % every;
    if (since < day_.pause) now += day_.pause - since;
    Duration until_pause = every - std::max<Duration>(since, day_.pause);
    if (left <= until_pause) return now + left;
    left -= until_pause;
    now += until_pause;
  }
}

}  // namespace damaskroute::model
