#include "damaskroute/forward/given_up_calls.h"

#include <algorithm>
#include <utility>

namespace damaskroute {

void GivenUpCalls::Add(GivenUpCall call) {
  auto& calls = calls_[call.checks];
  if (calls.size() >= kMaxCalls / calls_.size()) calls.pop_front();
  calls.push_back(std::move(call));
}

void GivenUpCalls::AddChecked(GivenUpCall call) {
  if (++call.checks < calls_.size()) Add(std::move(call));
}

std::vector<GivenUpCall> GivenUpCalls::TakeDue(TimePoint now) {
  std::vector<GivenUpCall> due;
  for (std::size_t checks = 0; checks < calls_.size(); ++checks) {
    auto& calls = calls_[checks];
    while (!calls.empty() && calls.front().ended + kCheckDelays[checks] <= now) {
      due.push_back(std::move(calls.front()));
      calls.pop_front();
    }
  }
  return due;
}

TimePoint GivenUpCalls::next_due() const {
  TimePoint next = TimePoint::max();
  for (std::size_t checks = 0; checks < calls_.size(); ++checks) {
    if (calls_[checks].empty()) continue;
    next = std::min(next, calls_[checks].front().ended + kCheckDelays[checks]);
  }
  return next;
}

ServerFate GivenUpCalls::FateOf(const GivenUpCall& call) {
  const Backend& backend = *call.backend;
  if (backend.answered_at >= call.ended) return ServerFate::kAlive;
  if (backend.leaving || backend.entry.draining) return ServerFate::kAlive;
  if (backend.gone || backend.lost_at >= call.ended) return ServerFate::kLost;
  return ServerFate::kUnknown;
}

}  // namespace damaskroute
