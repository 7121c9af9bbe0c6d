#include "damaskroute/quota/quota_coordinator.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Taken from the period of a lease, as the clocks of machines run at slightly different speeds.
constexpr int kClockMarginPerMille = 5;

// Longest period that is accepted; nodes of a deployment of 7,600 lease for 190 s.
constexpr milliseconds kMaxPeriod{300'000};

// A coordinator answers a repeated request with the same grant while it is among the last ones.
constexpr std::size_t kKeptGrants = 32;

constexpr std::chrono::seconds kForgetInterval{10};

// Nodes that are not counted whose last grants are kept. New nodes may ask before they are counted
// here. The limit bounds the memory that datagrams with arbitrary names can take.
constexpr std::size_t kMaxUncounted = 64;

// Tokens that are not needed at once are granted while this part of the bucket remains.
constexpr double kExtraReserve = 0.5;

}  // namespace

QuotaCoordinator::QuotaCoordinator(NodeName node, std::uint64_t incarnation,
                                   const QuotaOptions& options)
    : node_(std::move(node)), incarnation_(incarnation), options_(options) {}

void QuotaCoordinator::SetTable(std::shared_ptr<const QuotaTable> table, Duration now) {
  table_ = std::move(table);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    Slot& slot = slots_[i];
    EndLeases(slot, now);
    const auto& limits = table_->slot(i);
    std::erase_if(slot.buckets, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (auto& [id, bucket] : slot.buckets) bucket.SetLimit(limits.at(id), now);
    ApplyFraction(slot, now);
  }
}

void QuotaCoordinator::SetNodes(std::vector<NodeName> nodes) { nodes_ = std::move(nodes); }

bool QuotaCoordinator::IsCounted(const NodeName& node) const {
  return std::binary_search(nodes_.begin(), nodes_.end(), node);
}

// All leases that ended count as ended with the first of them; that is never too late.
void QuotaCoordinator::EndLeases(Slot& slot, Duration now) {
  if (now < slot.next_end) return;
  Duration first = now;
  for (const auto& [node, lease] : slot.leases) first = std::min(first, lease.end);
  std::erase_if(slot.leases, [now](const auto& entry) { return entry.second.end <= now; });
  slot.next_end = Duration::max();
  for (const auto& [node, lease] : slot.leases) slot.next_end = std::min(slot.next_end, lease.end);
  ApplyFraction(slot, first);
}

void QuotaCoordinator::ApplyFraction(Slot& slot, Duration now) {
  double fraction = 0;
  for (const auto& [node, lease] : slot.leases) fraction += lease.fraction;
  slot.fraction = std::min(fraction, 1.0);
  if (slot.leases.empty()) return slot.buckets.clear();
  auto index = static_cast<std::size_t>(&slot - slots_.data());
  if (slot.buckets.size() < table_->slot(index).size()) {
    for (const auto& [id, limit] : table_->slot(index)) {
      slot.buckets.try_emplace(id, limit, slot.fraction, now);
    }
  }
  for (auto& [id, bucket] : slot.buckets) bucket.SetFraction(slot.fraction, now);
}

QuotaLeaseReply QuotaCoordinator::OnLease(const QuotaLease& lease, Duration now) {
  QuotaLeaseReply reply{node_, incarnation_, lease.incarnation, lease.slot};
  reply.stamp = static_cast<std::uint64_t>(duration_cast<microseconds>(now).count());
  if (lease.slot >= slots_.size()) return reply;
  Slot& slot = slots_[lease.slot];
  EndLeases(slot, now);
  milliseconds period(lease.period_ms);
  reply.leaving = leaving_;
  bool usable = lease.coordinator == incarnation_ && lease.nodes > 0 && period <= kMaxPeriod &&
                lease.stamp <= reply.stamp && IsCounted(lease.node);
  if (!usable) return reply;
  Duration end = microseconds(lease.stamp) + period - period * kClockMarginPerMille / 1000;
  if (end <= now) return reply;
  reply.accepted = true;
  Accept(slot, lease, end, now);
  return reply;
}

void QuotaCoordinator::Accept(Slot& slot, const QuotaLease& lease, Duration end, Duration now) {
  double fraction = 1.0 / static_cast<double>(std::max<std::size_t>(lease.nodes, nodes_.size()));
  auto [found, added] = slot.leases.try_emplace(lease.node);
  Lease& held = found->second;
  if (!added && lease.stamp <= held.stamp) return;  // Delayed or sent again.
  held.stamp = lease.stamp;
  held.end = end;
  slot.next_end = std::min(slot.next_end, end);
  if (held.fraction == fraction) return;
  held.fraction = fraction;
  ApplyFraction(slot, now);
  if (!added || lease.idle_ms == 0) return;
  for (auto& [id, bucket] : slot.buckets) bucket.Credit(fraction, milliseconds(lease.idle_ms));
}

QuotaGrant QuotaCoordinator::OnAsk(const QuotaAsk& ask, Duration now) {
  ForgetOldGrants(now);
  if (!granted_.contains(ask.node) && !IsCounted(ask.node) &&
      granted_.size() >= nodes_.size() + kMaxUncounted) {
    return {node_, ask.incarnation, ask.sequence};  // `responsible` is false.
  }
  Granted& granted = granted_[ask.node];
  if (granted.incarnation != ask.incarnation) granted = {ask.incarnation, {}, now};
  granted.last = now;
  auto same = std::find_if(granted.grants.begin(), granted.grants.end(),
                           [&](const auto& grant) { return grant.sequence == ask.sequence; });
  if (same != granted.grants.end()) return *same;
  QuotaGrant grant = Grant(ask, now);
  granted.grants.push_back(grant);
  if (granted.grants.size() > kKeptGrants) granted.grants.pop_front();
  return grant;
}

QuotaGrant QuotaCoordinator::Grant(const QuotaAsk& ask, Duration now) {
  QuotaGrant grant{node_, ask.incarnation, ask.sequence};
  Slot& slot = slots_[QuotaTable::SlotOf(ask.tenant)];
  EndLeases(slot, now);
  auto found = slot.buckets.find(ask.tenant);
  if (found == slot.buckets.end()) return grant;
  QuotaBucket& bucket = found->second;
  grant.responsible = true;
  int taken = bucket.Take(ask.needed, /*reserve=*/0, now);
  if (taken == ask.needed && IsCounted(ask.node)) {
    taken += bucket.Take(ask.extra, bucket.max_level() * kExtraReserve, now);
  } else if (taken < ask.needed) {
    auto wait = bucket.NextTokenIn(now);
    // Without a limit to the wait, the lease of a further share may bring a token any time.
    auto retry =
        wait == Duration::max() ? milliseconds(1000) : std::chrono::ceil<milliseconds>(wait);
    grant.retry_ms = static_cast<std::uint32_t>(retry.count());
  }
  grant.granted =
      static_cast<std::uint16_t>(std::min<int>(taken, std::numeric_limits<std::uint16_t>::max()));
  return grant;
}

void QuotaCoordinator::ForgetOldGrants(Duration now) {
  if (now < next_forget_) return;
  next_forget_ = now + kForgetInterval;
  std::erase_if(granted_,
                [now](const auto& entry) { return now - entry.second.last > kForgetInterval; });
}

double QuotaCoordinator::FractionOf(std::size_t slot, Duration now) {
  EndLeases(slots_[slot], now);
  return slots_[slot].fraction;
}

}  // namespace damaskroute
