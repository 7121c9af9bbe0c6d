#ifndef DAMASKROUTE_STORE_LEASE_SCHEDULE_H_
#define DAMASKROUTE_STORE_LEASE_SCHEDULE_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/lease_step.h"

namespace damaskroute {

/// Decides how a node keeps a key of its own in the store: opens a lease, writes the key under it,
/// renews the lease, and begins anew when the lease has ended.
class LeaseSchedule {
 public:
  LeaseSchedule(std::chrono::milliseconds life, std::uint64_t seed) : life_(life), random_(seed) {}

  /// The next step. Ask after each event and at the end of a pause.
  LeaseStep Next(TimePoint now) const;

  /// A lease was opened; the store may have changed its life.
  void OnOpened(std::uint64_t lease, std::chrono::milliseconds life);

  /// The key was written under the lease, or the lease was renewed.
  void OnRenewed(TimePoint now);

  /// The store does not know the lease any more.
  void OnEnded();

  /// A call failed or got no answer.
  void OnFailure(TimePoint now);

  /// Whether the key was written under the present lease.
  bool is_written() const { return written_; }

 private:
  std::chrono::milliseconds life_;
  Random random_;
  std::uint64_t lease_ = 0;  // 0: none.
  bool written_ = false;
  int failures_ = 0;
  TimePoint pause_until_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_SCHEDULE_H_
