#ifndef DAMASKROUTE_QUOTA_QUOTA_CLIENT_H_
#define DAMASKROUTE_QUOTA_QUOTA_CLIENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_action.h"
#include "damaskroute/quota/quota_bucket.h"
#include "damaskroute/quota/quota_message.h"
#include "damaskroute/quota/quota_options.h"
#include "damaskroute/quota/quota_table.h"

namespace damaskroute {

/// Obtains tokens for the requests of a node and leases the node's shares to coordinators. A share
/// is used by one party at a time: by the coordinator until its lease is over, by the node
/// otherwise. Times are of the boot clock and ascend; the actions of each call are fetched with
/// `TakeActions`.
class QuotaClient {
 public:
  /// Longest time without news from the store after which the node still uses its shares itself.
  /// Other nodes stop counting a node that is cut off from the store after its lease there (30 s).
  static constexpr std::chrono::seconds kMaxViewAge{30};

  /// `incarnation`: differs between processes and is not 0. `now`: start of the process.
  QuotaClient(NodeName node, std::uint64_t incarnation, const QuotaOptions& options, Duration now);

  void SetTable(std::shared_ptr<const QuotaTable> table, Duration now);

  /// Sets the counted nodes and those to which messages can be sent. `min_nodes`: lower limit of
  /// the number of nodes by which the quota is divided. `confirmed`: when the list was last known
  /// to be that of the store.
  void SetNodes(const std::vector<NodeName>& counted, const std::vector<NodeName>& reachable,
                std::size_t min_nodes, Duration confirmed, Duration now);

  /// The key of this node was in the store before this process wrote it, so a predecessor has
  /// joined and the others count the node already. Without this, a node that was restarted used
  /// none of its shares for the time in which the others learn of a new node.
  void SetJoinedBefore() { joined_before_ = true; }

  /// Extends the time for which the list of nodes is confirmed.
  void Confirm(Duration confirmed) { confirmed_ = std::max(confirmed_, confirmed); }

  bool HasQuota(QuotaId tenant) const { return table_->Find(tenant) != nullptr; }

  /// Requests a token for a request of a tenant with a quota. `waiter` identifies the request; its
  /// verdict is given in the actions of this call or of a later one.
  void Take(QuotaId tenant, std::uint64_t waiter, Duration now);

  /// Withdraws a request that waits.
  void Cancel(QuotaId tenant, std::uint64_t waiter);

  /// Takes back the token of a request that has not run.
  void Return(QuotaId tenant, Duration expires, Duration now);

  void OnLeaseReply(const QuotaLeaseReply& reply, Duration now);
  void OnGrant(const QuotaGrant& grant, Duration now);
  void OnTimer(Duration now);

  /// When to call `OnTimer`; `Duration::max()` if not before another call.
  Duration NextTimer(Duration now) const;

  QuotaActions TakeActions() { return std::exchange(actions_, {}); }

  /// Requests that wait for a token.
  std::size_t waiting() const;

  /// Possible coordinators that do not answer or are leaving, in ascending order.
  std::vector<NodeName> Suspects() const;

  /// Tenants with state in this class.
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct Waiter {
    std::uint64_t id = 0;
    Duration deadline{};
  };

  struct TenantState {
    std::vector<Waiter> waiters;
    std::vector<Duration> stock;  // Expiry of each token.
    std::size_t asked = 0;        // Tokens for waiters, in requests without a reply.
    Duration next_ask{};
    Duration empty_until{};  // The coordinator has no token before.
    Duration last_use{};
    int streak = 0;  // Recent uses in close succession.
  };

  struct Ask {
    QuotaAsk message;
    NodeName to;
    Duration sent{};
    bool resent = false;
    bool given_up = false;  // A late grant is still of use for other requests.
  };

  struct Slot {
    std::vector<NodeName> order;  // Possible coordinators, the preferred one first.
    NodeName contact;             // Node that is asked for a stamp; without a lease only.
    NodeName holder;              // Coordinator that has the share; empty if there is none.
    std::uint64_t holder_incarnation = 0;
    std::uint64_t stamp = 0;  // Of the holder, for the next lease.
    Duration stamp_received{};
    Duration leased_until{};
    Duration own_since{};  // Without a lease: since when the share is the node's.
    Duration last_lease{};
    Duration next_send{};
    int tries = 0;
    std::uint32_t idle_ms = 0;  // See `QuotaLease`; only in the first lease to a holder.
    std::unordered_map<QuotaId, QuotaBucket> own;  // Created when the node uses its share.
  };

  bool MayLease(Duration now) const;
  double Share() const { return 1.0 / static_cast<double>(nodes_); }
  NodeName TargetOf(const Slot& slot) const;
  NodeName AskTarget(const Slot& slot) const;
  void DriveSlot(std::size_t index, Duration now);
  void SendLease(std::size_t index, Duration now);
  std::uint32_t IdleTime(Slot& slot, Duration now) const;
  void SendStampRequest(const NodeName& to, std::size_t index);
  void BackOff(Slot& slot, const NodeName& to, Duration now);
  void OnHeard(const NodeName& node, Duration now);
  void Suspect(const NodeName& node, Duration now, bool leaving = false);
  void Serve(QuotaId tenant, TenantState& state, Duration now);
  void SendAsk(QuotaId tenant, TenantState& state, Duration now);
  bool TakeOwn(QuotaId tenant, Duration now);
  void FailFront(QuotaId tenant, TenantState& state, QuotaOutcome outcome,
                 std::chrono::milliseconds retry_after, Duration now);
  void DriveAsks(Duration now);
  void DriveWaiters(Duration now);
  void ProbeSuspects(Duration now);
  void ForgetIdleTenants(Duration now);

  const NodeName node_;
  const std::uint64_t incarnation_;
  const QuotaOptions options_;
  const Duration started_;
  std::shared_ptr<const QuotaTable> table_ = std::make_shared<QuotaTable>();
  std::size_t nodes_ = 1;
  std::chrono::milliseconds period_{1'000};
  bool joined_before_ = false;
  bool was_counted_ = false;
  bool counted_ = false;  // Whether the own node is counted.
  Duration counted_since_{};
  Duration confirmed_{};
  std::array<Slot, QuotaTable::kSlots> slots_;
  std::unordered_map<QuotaId, TenantState> tenants_;
  std::set<QuotaId> waiting_;          // Tenants with waiters.
  std::map<std::uint64_t, Ask> asks_;  // By sequence.
  std::uint64_t next_sequence_ = 1;
  struct Contact {
    Duration heard{};
    int unanswered = 0;  // Requests for tokens since then.
  };
  std::unordered_map<NodeName, Contact> contacts_;
  struct Avoided {
    Duration next_probe{};
    bool leaving = false;  // Answers requests for tokens until its leases are over.
  };
  std::map<NodeName, Avoided> suspects_;  // Nodes that get no leases.
  Duration next_forget_{};
  QuotaActions actions_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_CLIENT_H_
