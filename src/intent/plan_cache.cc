#include "damaskroute/intent/plan_cache.h"

#include <utility>

namespace damaskroute {

void PlanCache::Add(CachedPlan plan) {
  for (auto it = plans_.begin(); it != plans_.end(); ++it) {
    if (it->id != plan.id) continue;
    bytes_ -= it->bytes.size();
    plans_.erase(it);
    break;
  }
  bytes_ += plan.bytes.size();
  plans_.push_back(std::move(plan));
  while (plans_.size() > 1 && (plans_.size() > max_plans_ || bytes_ > max_bytes_)) {
    bytes_ -= plans_.front().bytes.size();
    plans_.pop_front();
  }
}

const CachedPlan* PlanCache::Find(const std::string& id) const {
  for (const CachedPlan& plan : plans_) {
    if (plan.id == id) return &plan;
  }
  return nullptr;
}

}  // namespace damaskroute
