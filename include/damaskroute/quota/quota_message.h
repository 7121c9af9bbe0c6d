#ifndef DAMASKROUTE_QUOTA_QUOTA_MESSAGE_H_
#define DAMASKROUTE_QUOTA_QUOTA_MESSAGE_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/quota/quota_table.h"

namespace damaskroute {

/// From a node to a coordinator: leases the node's share of a slot. Without a stamp
/// (`coordinator` is 0) it only asks for one.
struct QuotaLease {
  NodeName node;
  std::uint64_t incarnation = 0;  ///< Of the node's process.
  std::uint8_t slot = 0;
  std::uint32_t nodes = 0;        ///< The share is 1 / `nodes`.
  std::uint32_t period_ms = 0;    ///< Counts from `stamp`.
  std::uint32_t idle_ms = 0;      ///< For which nobody has used the share.
  std::uint64_t coordinator = 0;  ///< Incarnation that issued `stamp`.
  std::uint64_t stamp = 0;        ///< Boot clock of the coordinator, in microseconds.

  friend bool operator==(const QuotaLease&, const QuotaLease&) = default;
};

/// Reply to a `QuotaLease`.
struct QuotaLeaseReply {
  NodeName coordinator_node;
  std::uint64_t coordinator = 0;  ///< Incarnation of the coordinator's process.
  std::uint64_t incarnation = 0;  ///< Copied from the lease.
  std::uint8_t slot = 0;
  bool accepted = false;    ///< Whether the share is now leased.
  bool leaving = false;     ///< The coordinator ends soon; its leases are not to be renewed.
  std::uint64_t stamp = 0;  ///< For the next lease.

  friend bool operator==(const QuotaLeaseReply&, const QuotaLeaseReply&) = default;
};

/// From a node to a coordinator: requests tokens.
struct QuotaAsk {
  NodeName node;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< Identifies the request of this process; repeated if sent again.
  QuotaId tenant = 0;
  std::uint16_t needed = 0;
  std::uint16_t extra = 0;  ///< Tokens for requests that are expected soon.

  friend bool operator==(const QuotaAsk&, const QuotaAsk&) = default;
};

/// Reply to a `QuotaAsk`.
struct QuotaGrant {
  NodeName coordinator_node;
  std::uint64_t incarnation = 0;  ///< Copied from the request.
  std::uint64_t sequence = 0;     ///< Copied from the request.
  bool responsible = false;       ///< Whether the coordinator holds shares and knows the tenant.
  std::uint16_t granted = 0;
  std::uint32_t retry_ms = 0;  ///< If fewer than needed are granted: until there is a token.

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

using QuotaMessage = std::variant<QuotaLease, QuotaLeaseReply, QuotaAsk, QuotaGrant>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_MESSAGE_H_
