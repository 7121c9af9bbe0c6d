#ifndef DAMASKROUTE_INTENT_PLAN_CACHE_H_
#define DAMASKROUTE_INTENT_PLAN_CACHE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "damaskroute/intent/plan.h"

namespace damaskroute {

/// The parts of a plan that are needed to confirm it.
struct CachedPlan {
  std::string id;
  Revision base_revision = 0;
  bool has_changes = false;
  bool needs_override = false;
  std::string summary;
  std::vector<std::string> warnings;
  std::string bytes;  ///< Encoded document.
};

/// The latest plans of a node. Bounded by number and by bytes, because plans that are never
/// confirmed would otherwise exhaust the node's memory.
class PlanCache {
 public:
  explicit PlanCache(std::size_t max_plans = 16, std::size_t max_bytes = 16 << 20)
      : max_plans_(max_plans), max_bytes_(max_bytes) {}

  /// Adds a plan and evicts the oldest ones above the limits; the latest plan is always kept.
  void Add(CachedPlan plan);

  /// The plan with this id, nullptr if there is none. Valid until the next `Add`.
  const CachedPlan* Find(const std::string& id) const;

 private:
  std::size_t max_plans_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<CachedPlan> plans_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_PLAN_CACHE_H_
