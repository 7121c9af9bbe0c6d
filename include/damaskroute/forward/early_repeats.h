#ifndef DAMASKROUTE_FORWARD_EARLY_REPEATS_H_
#define DAMASKROUTE_FORWARD_EARLY_REPEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Recognizes requests that a tenant repeats before the time that the refusal stated, so that they
/// do not take capacity from requests of callers that wait. Remembers the most recent refusals in a
/// table of fixed size. Ignores requests without a tenant: the key of a request does not name its
/// caller, so a request of another caller would count as a repeat.
class EarlyRepeats {
 public:
  /// Records that a request was refused and may come again from `retry_at` on. A time that was
  /// stated before and has not passed holds on, so repeats do not postpone the request.
  void OnRefused(const TenantName& tenant, std::uint64_t request_key, TimePoint retry_at,
                 TimePoint now);

  /// Whether the request was refused before and comes again too early.
  bool IsEarly(const TenantName& tenant, std::uint64_t request_key, TimePoint now) const;

 private:
  struct Slot {
    std::uint64_t key = 0;  // Hash of the tenant and the key of the request.
    TimePoint retry_at;
  };

  std::vector<Slot> slots_;  // By `Slot::key`; empty before the first refusal.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_EARLY_REPEATS_H_
