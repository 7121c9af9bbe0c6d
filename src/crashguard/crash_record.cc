#include "damaskroute/crashguard/crash_record.h"

#include <algorithm>
#include <set>

namespace damaskroute {

bool CrashRecord::Add(const CrashLoss& loss) {
  auto known = std::find_if(losses.begin(), losses.end(),
                            [&](const CrashLoss& other) { return other.id == loss.id; });
  if (known != losses.end()) {
    bool changed = loss.survived && !known->survived;
    known->survived |= loss.survived;
    // The times of a loss are known to the node that saw it; others add the delay of the network.
    if (loss.lost < known->lost) {
      known->lost = loss.lost;
      known->sent = loss.sent;
    }
    return changed;
  }
  if (losses.size() < kMaxLosses) {
    losses.push_back(loss);
    return true;
  }
  return Counts(loss) && Replace(loss);
}

bool CrashRecord::Replace(const CrashLoss& loss) {
  auto useless = std::find_if(losses.begin(), losses.end(),
                              [this](const CrashLoss& other) { return !Counts(other); });
  if (useless != losses.end()) {
    *useless = loss;
    return true;
  }
  // Nodes with different losses of one event would otherwise replace them by each other's forever.
  std::size_t known = CountSuccessiveLosses();
  losses.push_back(loss);
  std::vector<const CrashLoss*> successive = SuccessiveLosses();
  if (successive.size() <= known) {
    losses.pop_back();
    return false;
  }
  auto redundant = std::find_if(losses.begin(), losses.end(), [&](const CrashLoss& other) {
    return std::find(successive.begin(), successive.end(), &other) == successive.end();
  });
  if (redundant == losses.end()) {
    losses.pop_back();
    return false;
  }
  losses.erase(redundant);
  return true;
}

bool CrashRecord::Merge(const CrashRecord& other) {
  bool changed = false;
  for (const CrashLoss& loss : other.losses) changed |= Add(loss);
  return OnAnswered(other.answered) || changed;
}

bool CrashRecord::OnAnswered(TimePoint at) {
  if (at <= answered) return false;
  std::size_t before = CountLosses();
  answered = at;
  return CountLosses() < before;
}

std::size_t CrashRecord::CountLosses() const {
  std::set<std::uint64_t> incarnations;
  for (const CrashLoss& loss : losses) {
    if (Counts(loss)) incarnations.insert(loss.incarnation);
  }
  return incarnations.size();
}

std::size_t CrashRecord::CountSuccessiveLosses() const { return SuccessiveLosses().size(); }

std::vector<const CrashLoss*> CrashRecord::SuccessiveLosses() const {
  std::vector<const CrashLoss*> ordered;
  for (const CrashLoss& loss : losses) {
    if (Counts(loss)) ordered.push_back(&loss);
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const CrashLoss* a, const CrashLoss* b) { return a->lost < b->lost; });
  std::vector<const CrashLoss*> successive;
  for (const CrashLoss* loss : ordered) {
    if (!successive.empty() && loss->sent < successive.back()->lost + kCommonCauseTime) continue;
    successive.push_back(loss);
  }
  return successive;
}

TimePoint CrashRecord::LastLoss() const {
  TimePoint last = TimePoint::min();
  for (const CrashLoss& loss : losses) {
    if (Counts(loss)) last = std::max(last, loss.lost);
  }
  return last;
}

bool CrashRecord::KnowsMoreThan(const CrashRecord& other) const {
  CrashRecord merged = other;
  return merged.Merge(*this);
}

}  // namespace damaskroute
