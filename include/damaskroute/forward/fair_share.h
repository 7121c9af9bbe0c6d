#ifndef DAMASKROUTE_FORWARD_FAIR_SHARE_H_
#define DAMASKROUTE_FORWARD_FAIR_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Decision on one request.
enum class FairShareDecision : std::uint8_t {
  kAdmitIfSpare,  ///< May only run if much of the capacity is free.
  kAdmit,         ///< May run; its tenant is limited.
  kAdmitFirst,    ///< May run; its tenant is not limited.
};

/// Divides the capacity of the servers of a query, or of one service, among tenants while there is
/// too little of it. The capacity is what was served recently; it grows while nothing is turned
/// away, so unused capacity is offered to everybody. Requests within a tenant's usual use come
/// first, by priority, and what a tenant sends far above it comes last. Tenants of equal rank get
/// the same part of their requests, and none less than a quarter of the greatest part.
///
/// Nothing is queued, so each tenant gets a probability of admission, which is derived from the
/// rates of all requests as in Stoica, Shenker and Zhang, "Core-stateless fair queueing", 1998.
class FairShare {
 public:
  /// Greatest number of pairs of tenant and priority with a probability of their own.
  static constexpr std::size_t kMaxEntries = 1024;

  FairShare(std::uint64_t seed, TimePoint now);

  /// Decides whether a request may run, and counts it. `usual_fraction`: the part of the tenant's
  /// requests, 0 to 1, that is within its usual use; absent for an early repeat, which does not
  /// change what is known of its tenant.
  FairShareDecision Admit(const TenantName& tenant, int priority,
                          std::optional<double> usual_fraction, TimePoint now);

  /// An admitted request found capacity.
  void OnServed(TimePoint now);

  /// An admitted request, or a call of it, found no capacity.
  void OnTurnedAway(TimePoint now);

  /// Whether nothing was turned away for so long that this object is no longer needed.
  bool IsIdle(TimePoint now) const;

 private:
  struct Entry {
    double requests = 0;        // Decayed count as of `last`.
    double usual_fraction = 1;  // Of the latest request that stated it.
    double probability = 1;
    double credit = 0;  // The next request is admitted when it reaches 1.
    TimePoint last;
    int priority = 0;
  };

  static void Count(double& requests, TimePoint& last, TimePoint now);
  Entry& Find(const TenantName& tenant, int priority, std::optional<double> usual_fraction,
              TimePoint now);
  void Update(TimePoint now);
  void CollectPriorities();
  double TotalRequests(TimePoint now);
  void SetLevel(double level);
  double AdmittedAt(double level);
  double UnboundedProbability(const Entry& entry) const;
  double LeastProbability() const;

  Random random_;
  std::unordered_map<std::uint64_t, Entry> entries_;  // By hash of tenant and priority.
  std::vector<int> priorities_;                       // In use, ascending.
  double level_ = 1;                                  // See `UnboundedProbability`.
  double greatest_probability_ = 1;
  double served_ = 0;  // Decayed count as of `served_at_`.
  TimePoint served_at_;
  double capacity_;           // In the unit of the decayed counts.
  bool turned_away_ = false;  // Since the last update.
  TimePoint last_turned_away_;
  TimePoint next_update_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FAIR_SHARE_H_
