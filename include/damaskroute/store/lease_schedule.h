#ifndef DAMASKROUTE_STORE_LEASE_SCHEDULE_H_
#define DAMASKROUTE_STORE_LEASE_SCHEDULE_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/lease_step.h"

namespace damaskroute {

/// Decides how a node keeps its key in the store: opens a lease, writes the key under it, renews
/// the lease, and starts over when the lease has ended.
class LeaseSchedule {
 public:
  LeaseSchedule(std::chrono::milliseconds ttl, std::uint64_t seed) : ttl_(ttl), random_(seed) {}

  /// Returns the next step. To be called after each event and at the end of a pause.
  LeaseStep Next(TimePoint now) const;

  /// A lease was opened; `ttl` is the granted one, which may differ from the requested one.
  void OnOpened(std::uint64_t lease, std::chrono::milliseconds ttl);

  /// The key was written under the lease, or the lease was renewed.
  void OnRenewed(TimePoint now);

  /// The store no longer has the lease.
  void OnEnded();

  /// The store was restored from an older copy, which may lack the key and the lease, or hold
  /// another lease under the same id: opens a new one soon, not at the same time as the other
  /// nodes.
  void OnStoreRestored(TimePoint now);

  /// A call failed or got no response.
  void OnFailure(TimePoint now);

  /// Whether the key was written under the current lease.
  bool is_written() const { return written_; }

 private:
  std::chrono::milliseconds ttl_;
  Random random_;
  std::uint64_t lease_ = 0;  // 0 if there is none.
  bool written_ = false;
  int failures_ = 0;
  TimePoint pause_until_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_SCHEDULE_H_
