#ifndef DAMASKROUTE_QUOTA_QUOTA_COORDINATOR_H_
#define DAMASKROUTE_QUOTA_QUOTA_COORDINATOR_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_bucket.h"
#include "damaskroute/quota/quota_message.h"
#include "damaskroute/quota/quota_options.h"
#include "damaskroute/quota/quota_table.h"

namespace damaskroute {

/// Grants tokens from the shares that nodes have leased to it. It holds a bucket per tenant of each
/// slot in which it has a lease. Times are of the boot clock and ascend.
class QuotaCoordinator {
 public:
  /// `incarnation`: differs between processes and is not 0.
  QuotaCoordinator(NodeName node, std::uint64_t incarnation, const QuotaOptions& options);

  void SetTable(std::shared_ptr<const QuotaTable> table, Duration now);

  /// Sets the counted nodes, in ascending order. Leases of other nodes are not accepted.
  void SetNodes(std::vector<NodeName> nodes);

  /// Asks the nodes in all replies to renew no leases, so that they lease to others before this
  /// process ends. Renewals that are under way are accepted, as their senders rely on them.
  void Leave() { leaving_ = true; }

  QuotaLeaseReply OnLease(const QuotaLease& lease, Duration now);
  QuotaGrant OnAsk(const QuotaAsk& ask, Duration now);

  /// Part of the quotas of the slot that is leased to it.
  double FractionOf(std::size_t slot, Duration now);

 private:
  struct Lease {
    double fraction = 0;
    std::uint64_t stamp = 0;
    Duration end{};
  };

  struct Slot {
    std::unordered_map<NodeName, Lease> leases;
    Duration next_end = Duration::max();  // No lease ends earlier.
    double fraction = 0;                  // Sum over the leases.
    std::unordered_map<QuotaId, QuotaBucket> buckets;
  };

  // The last grants to a process, for requests that are sent again.
  struct Granted {
    std::uint64_t incarnation = 0;
    std::deque<QuotaGrant> grants;
    Duration last{};
  };

  bool IsCounted(const NodeName& node) const;
  void EndLeases(Slot& slot, Duration now);
  void ApplyFraction(Slot& slot, Duration now);
  void Accept(Slot& slot, const QuotaLease& lease, Duration end, Duration now);
  QuotaGrant Grant(const QuotaAsk& ask, Duration now);
  void ForgetOldGrants(Duration now);

  const NodeName node_;
  const std::uint64_t incarnation_;
  const QuotaOptions options_;
  std::shared_ptr<const QuotaTable> table_ = std::make_shared<QuotaTable>();
  std::vector<NodeName> nodes_;
  bool leaving_ = false;
  std::array<Slot, QuotaTable::kSlots> slots_;
  std::unordered_map<NodeName, Granted> granted_;
  Duration next_forget_{};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_COORDINATOR_H_
