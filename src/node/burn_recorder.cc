#include "damaskroute/node/burn_recorder.h"

#include <algorithm>
#include <chrono>

namespace damaskroute {
namespace {

constexpr std::chrono::minutes kPeriod{1};

// Three days, the longest history kept in memory: 4,320 minutes of 32 bytes per front.
constexpr std::size_t kMaxMinutes = std::chrono::minutes(std::chrono::days(3)).count();

}  // namespace

BurnRecorder::BurnRecorder(const Snapshot<NodeView>& view)
    : view_(view), thread_([this] { Run(); }) {}

BurnRecorder::~BurnRecorder() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void BurnRecorder::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (!wake_.wait_for(lock, kPeriod, [this] { return stopping_; })) CloseMinute();
  }
}

void BurnRecorder::CloseMinute() {
  for (const auto& [name, metrics] : view_.Load()->fronts) {
    FrontHistory& history = histories_[name];
    Totals now = Read(*metrics);
    history.minutes.push_back(Difference(now, history.last));
    history.last = now;
    if (history.minutes.size() > kMaxMinutes) history.minutes.erase(history.minutes.begin());
  }
}

std::vector<FrontCounters> BurnRecorder::Counters() {
  auto view = view_.Load();
  std::lock_guard lock(mutex_);
  std::vector<FrontCounters> all;
  for (const SearchFront& front : view->config.fronts) {
    auto metrics = view->fronts.find(front.name);
    if (metrics == view->fronts.end()) continue;
    FrontCounters counters;
    counters.front = front.name;
    const Service* service = view->config.FindService(front.service);
    if (service != nullptr) counters.customer = service->customer;
    counters.objective = front.objective;
    FrontHistory& history = histories_[front.name];
    counters.minutes = history.minutes;
    counters.minutes.push_back(Difference(Read(*metrics->second), history.last));
    all.push_back(std::move(counters));
  }
  return all;
}

BurnRecorder::Totals BurnRecorder::Read(const FrontMetrics& metrics) {
  Totals totals;
  totals.complete = metrics.complete;
  totals.partial = metrics.partial;
  totals.failed = metrics.not_run + metrics.may_have_run;
  totals.late = metrics.late;
  return totals;
}

// A failed query misses both objectives. The counters do not tell how many late answers were
// partial, so late answers are attributed to the complete ones first.
MinuteCounts BurnRecorder::Difference(const Totals& now, const Totals& before) {
  std::uint64_t complete = now.complete - before.complete;
  std::uint64_t partial = now.partial - before.partial;
  std::uint64_t late = now.late - before.late;
  MinuteCounts counts;
  counts.late = std::min(late, complete);
  counts.good = complete - counts.late;
  std::uint64_t late_partial = std::min(late - counts.late, partial);
  counts.incomplete = partial - late_partial;
  counts.late_incomplete = late_partial + (now.failed - before.failed);
  return counts;
}

}  // namespace damaskroute
