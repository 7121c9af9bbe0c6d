#include "damaskroute/node/holder_loop.h"

#include <algorithm>
#include <utility>

namespace damaskroute {
namespace {

constexpr double kUnusedHedgeQuantile = 0.95;

// Limit of the memory of all answers that are read at the same time.
constexpr std::size_t kMaxHeldBytes = std::size_t{64} << 20;

}  // namespace

HolderLoop::HolderLoop(EventLoop& loop, BackendChannelHooks hooks, Incarnation incarnation,
                       Duration longest_call)
    : loop_(loop),
      hooks_(std::move(hooks)),
      incarnation_(incarnation),
      longest_call_(longest_call),
      body_budget_(std::make_shared<ByteBudget>(kMaxHeldBytes)) {}

void HolderLoop::SetLimit(const Limit& limit) {
  auto it = channels_.find(limit.backend.name);
  // A backend server with another address is a different one and needs a new channel.
  if (it != channels_.end() && it->second->backend().endpoint != limit.backend.endpoint &&
      it->second->load() == 0) {
    channels_.erase(it);
    it = channels_.end();
  }
  if (it == channels_.end()) {
    WarmthOptions warmth;
    warmth.backend = limit.backend.name;
    warmth.first_nonce = incarnation_;
    warmth.warm_up = limit.warm_up;
    it = channels_
             .emplace(limit.backend.name, std::make_unique<BackendChannel>(
                                              loop_, limit.service, limit.backend, warmth,
                                              LatencyOf(limit.service), body_budget_, hooks_))
             .first;
  }
  it->second->SetLimit(limit.share, limit.sequence, limit.accepts_work, limit.first_holder);
}

void HolderLoop::Submit(const BackendName& backend, HolderCall call) {
  // Other nodes rely on this bound when they take over the shares of this node.
  call.deadline = std::min(call.deadline, SteadyClock().Now() + longest_call_);
  auto it = channels_.find(backend);
  if (it == channels_.end()) {
    RefuseWithoutChannel(backend, call);
  } else {
    it->second->Submit(std::move(call));
  }
}

void HolderLoop::RefuseWithoutChannel(const BackendName& backend, const HolderCall& call) {
  if (call.action) {
    ActionResult reply;
    reply.query_id = call.query_id();
    reply.verdict = Verdict::kNotRun;
    reply.outcome = ShardOutcome::kNoShare;
    hooks_.reply(call.reply_to, std::move(reply));
    return;
  }
  ShardReply reply;
  reply.query_id = call.query_id();
  reply.call_id = call.call.call_id;
  reply.attempt = call.call.attempt;
  reply.backend = backend;
  reply.outcome = ShardOutcome::kNoShare;
  hooks_.reply(call.reply_to, std::move(reply));
}

void HolderLoop::Cancel(const Endpoint& from, const CancelCalls& cancel) {
  for (std::uint32_t call_id : cancel.call_ids) {
    for (auto& [name, channel] : channels_) channel->Cancel(from, cancel.query_id, call_id);
  }
}

void HolderLoop::OnWarmQuery(const NodeName& from, const WarmQuery& query) {
  auto it = channels_.find(query.backend);
  if (it != channels_.end()) it->second->OnWarmQuery(from, query);
}

void HolderLoop::OnWarmGrant(const WarmGrant& grant) {
  auto it = channels_.find(grant.backend);
  if (it != channels_.end()) it->second->OnWarmGrant(grant);
}

std::size_t HolderLoop::load() const {
  std::size_t total = 0;
  for (const auto& [name, channel] : channels_) total += channel->load();
  return total;
}

LatencyQuantiles& HolderLoop::LatencyOf(const ServiceName& service) {
  auto& latency = latencies_[service];
  if (!latency) latency = std::make_unique<LatencyQuantiles>(kUnusedHedgeQuantile);
  return *latency;
}

}  // namespace damaskroute
