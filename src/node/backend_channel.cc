#include "damaskroute/node/backend_channel.h"

#include <algorithm>
#include <utility>

#include "damaskroute/node/backend_health.h"
#include "damaskroute/node/shard_exchange.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kTickPeriod{250};
constexpr std::chrono::milliseconds kHealthPeriod{1000};

// One failed poll may be a lost packet; two in a row mean that new calls would fail as well.
constexpr int kFailedPollsUntilDown = 2;

TimePoint Now() { return SteadyClock().Now(); }

BackendClientOptions ClientOptions(std::shared_ptr<ByteBudget> body_budget) {
  BackendClientOptions options;
  options.body_budget = std::move(body_budget);
  return options;
}

}  // namespace

BackendChannel::BackendChannel(EventLoop& loop, const ServiceName& service, BackendServer backend,
                               WarmthOptions warmth, LatencyQuantiles& latency,
                               std::shared_ptr<ByteBudget> body_budget, BackendChannelHooks hooks)
    : service_(service),
      backend_(std::move(backend)),
      hooks_(std::move(hooks)),
      warmth_(std::move(warmth)),
      queue_(CallQueueSettings{}, latency),
      client_(loop.context(), backend_.endpoint, 0, ClientOptions(std::move(body_budget))),
      queue_timer_(loop.context()),
      tick_timer_(loop.context()) {
  ArmTick();
}

BackendChannel::~BackendChannel() = default;

void BackendChannel::SetLimit(const Share& share, std::uint64_t sequence, bool accepts_work,
                              NodeName first_holder) {
  TimePoint now = Now();
  bool accepts_again = accepts_work && !accepts_work_;
  share_ = share;
  accepts_work_ = accepts_work;
  first_holder_ = std::move(first_holder);
  limit_sequence_ = sequence;
  warmth_.SetShare(share, now);
  if (accepts_again) warmth_.OnColdObservation(now);
  client_.SetMaxConnections(share.connections);
  UpdateLimit(now);
  CheckWithinLimit();
  Report(now);
  if (share_.connections > 0 && !health_poll_running_) PollHealth();
}

void BackendChannel::Submit(HolderCall call) {
  TimePoint now = Now();
  std::uint64_t token = next_token_++;
  CallTicket ticket{token, call.priority(), call.deadline};
  if (!call.action) {
    tokens_[{call.reply_to, call.query_id(), call.call.call_id}] = token;
  }
  calls_.emplace(token, ActiveCall{std::move(call), 0, {}});
  // The second holder's warm grant expires without an event, so the limit is updated before each
  // start.
  UpdateLimit(now);
  Apply(queue_.Enqueue(ticket, now), now);
}

void BackendChannel::Cancel(const Endpoint& from, std::uint64_t query_id, std::uint32_t call_id) {
  auto it = tokens_.find({from, query_id, call_id});
  if (it == tokens_.end()) return;
  std::uint64_t token = it->second;
  bool waiting = calls_.at(token).exchange_id == 0;
  TimePoint now = Now();
  Apply(queue_.Cancel(token, now), now);
  if (!waiting) return;
  tokens_.erase(it);
  calls_.erase(token);
}

void BackendChannel::Apply(const std::vector<QueueAction>& actions, TimePoint now) {
  for (const QueueAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      Start(start->token, now);
    } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
      Refuse(refuse->token, refuse->reason == RefuseReason::kNoSlots ? ShardOutcome::kNoShare
                                                                     : ShardOutcome::kShed);
    } else if (const auto* expire = std::get_if<ExpireCall>(&action)) {
      Refuse(expire->token, ShardOutcome::kShed);
    } else if (const auto* cancel = std::get_if<CancelRunning>(&action)) {
      RequestCancel(cancel->token);
    } else if (const auto* timer = std::get_if<SetQueueTimer>(&action)) {
      queue_timer_.expires_at(timer->at);
      queue_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        TimePoint fired = Now();
        Apply(queue_.OnTimer(fired), fired);
      });
    }
  }
}

void BackendChannel::Start(std::uint64_t token, TimePoint now) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  ActiveCall& entry = it->second;
  entry.started = now;
  entry.exchange_id =
      client_.Start(MakeExchangeRequest(entry.call, backend_.endpoint, entry.started),
                    [this, token](const ExchangeResult& result) { Finish(token, result); });
}

void BackendChannel::Finish(std::uint64_t token, const ExchangeResult& result) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  ActiveCall entry = std::move(it->second);
  calls_.erase(it);
  if (!entry.call.action) {
    tokens_.erase({entry.call.reply_to, entry.call.query_id(), entry.call.call.call_id});
  }
  TimePoint now = Now();
  RecordResult(entry, result, now);
  std::string rows;
  ShardOutcome outcome = ClassifyExchange(entry.call, result, rows);
  Reply(entry.call, outcome, result, std::move(rows));
  Apply(queue_.OnDone(token, outcome == ShardOutcome::kRows, now), now);
  UpdateLimit(now);
  CheckWithinLimit();
  Report(now);
}

void BackendChannel::Refuse(std::uint64_t token, ShardOutcome outcome) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  HolderCall call = std::move(it->second.call);
  calls_.erase(it);
  if (!call.action) tokens_.erase({call.reply_to, call.query_id(), call.call.call_id});
  Reply(call, outcome, ExchangeResult{}, {});
}

void BackendChannel::Reply(const HolderCall& call, ShardOutcome outcome,
                           const ExchangeResult& result, std::string rows) {
  if (call.action) {
    ActionResult reply;
    reply.query_id = call.query_id();
    reply.verdict = VerdictOf(outcome);
    reply.outcome = outcome;
    if (outcome == ShardOutcome::kRows) reply.body = result.body;
    reply.boot_id = result.boot_id;
    hooks_.reply(call.reply_to, std::move(reply));
    return;
  }
  ShardReply reply;
  reply.query_id = call.query_id();
  reply.call_id = call.call.call_id;
  reply.attempt = call.call.attempt;
  reply.backend = backend_.name;
  reply.outcome = outcome;
  reply.version = result.version;
  reply.range = result.range;
  reply.rows = std::move(rows);
  reply.boot_id = BootIdOf(result);
  reply.in_flight = static_cast<std::uint32_t>(calls_.size());
  hooks_.reply(call.reply_to, std::move(reply));
}

void BackendChannel::RequestCancel(std::uint64_t token) {
  auto it = calls_.find(token);
  if (it == calls_.end() || it->second.exchange_id == 0) return;
  // The backend server answers a cancelled call with 499 and keeps its connection. Closing the
  // connection costs a new one, 1 to 6 ms, so that is only the fallback.
  client_.Start(MakeCancelRequest(it->second.call, backend_.endpoint),
                [this, token](const ExchangeResult& result) {
                  if (result.end == ExchangeEnd::kAnswered) return;
                  auto entry = calls_.find(token);
                  if (entry != calls_.end()) client_.Cancel(entry->second.exchange_id);
                });
}

void BackendChannel::RecordResult(const ActiveCall& entry, const ExchangeResult& result,
                                  TimePoint now) {
  if (result.end == ExchangeEnd::kAnswered) {
    RecordAlive(result.boot_id, entry.started, now);
    BackendState state = ParseBackendState(result.state);
    draining_ = state == BackendState::kDraining;
    warmth_.OnAnswer(
        {result.boot_id, state == BackendState::kWarm, result.status == 503, entry.started}, now);
  } else if (result.end == ExchangeEnd::kConnectFailed ||
             result.end == ExchangeEnd::kConnectionLost) {
    if (result.end == ExchangeEnd::kConnectionLost) {
      loss_tracker_.OnLoss(BootIdOf(result), now);
    }
    warmth_.OnColdObservation(now);
  }
}

// Boot id of the incarnation that ran a call: the one in the response, or else the last known one.
BootId BackendChannel::BootIdOf(const ExchangeResult& result) const {
  return result.boot_id != 0 ? result.boot_id : warmth_.boot_id();
}

void BackendChannel::RecordAlive(BootId boot_id, TimePoint started, TimePoint now) {
  if (!loss_tracker_.OnAnswer(boot_id, started, now)) return;
  hooks_.refute_crash({service_, backend_.name, boot_id});
}

int BackendChannel::CallLimit(TimePoint now) const {
  int allowed = accepts_work_ ? std::min(share_.slots, warmth_.CallLimit(now)) : 0;
  return std::max(allowed, 0);
}

void BackendChannel::UpdateLimit(TimePoint now) {
  Apply(queue_.SetLimit(static_cast<std::uint32_t>(CallLimit(now)), now), now);
}

void BackendChannel::CheckWithinLimit() {
  if (confirmed_sequence_ == limit_sequence_) return;
  if (queue_.running() > static_cast<std::size_t>(share_.slots)) return;
  if (client_.open_connections() > static_cast<std::size_t>(share_.connections)) return;
  confirmed_sequence_ = limit_sequence_;
  hooks_.within_limit(backend_.name, limit_sequence_);
}

void BackendChannel::OnWarmQuery(const NodeName& from, const WarmQuery& query) {
  TimePoint now = Now();
  auto grant = warmth_.OnQuery(query, now);
  UpdateLimit(now);
  if (grant) hooks_.send_to_node(from, *grant);
}

void BackendChannel::OnWarmGrant(const WarmGrant& grant) {
  TimePoint now = Now();
  warmth_.OnGrant(grant, now);
  UpdateLimit(now);
  Report(now);
}

void BackendChannel::ArmTick() {
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Tick();
    ArmTick();
  });
}

void BackendChannel::Tick() {
  TimePoint now = Now();
  if (auto query = warmth_.OnTimer(now); query && accepts_work_ && !first_holder_.empty()) {
    hooks_.send_to_node(first_holder_, *query);
  }
  UpdateLimit(now);
  CheckWithinLimit();
  if (now >= next_health_poll_ && !health_poll_running_ && share_.connections > 0) PollHealth();
  Report(now);
}

void BackendChannel::PollHealth() {
  health_poll_running_ = true;
  next_health_poll_ = Now() + kHealthPeriod;
  client_.Start(
      MakeHealthRequest(backend_.endpoint),
      [this, started = Now()](const ExchangeResult& result) { OnHealth(result, started); });
}

void BackendChannel::OnHealth(const ExchangeResult& result, TimePoint started) {
  health_poll_running_ = false;
  if (result.end != ExchangeEnd::kAnswered || result.status != 200) {
    ++failed_health_polls_;
  } else if (auto health = ParseBackendHealth(result.body); health.ok()) {
    failed_health_polls_ = 0;
    held_ranges_ = std::move(health->held);
    draining_ = health->state == BackendState::kDraining;
    RecordAlive(health->boot_id, started, Now());
  }
  CheckWithinLimit();
  Report(Now());
}

BackendState BackendChannel::StateAt(TimePoint now) const {
  if (failed_health_polls_ >= kFailedPollsUntilDown) return BackendState::kDown;
  if (draining_) return BackendState::kDraining;
  return warmth_.IsWarm(now) ? BackendState::kWarm : BackendState::kCold;
}

// Called after each call and rarely finds a change, so it compares before it builds a report.
void BackendChannel::Report(TimePoint now) {
  BackendState state = StateAt(now);
  auto share = static_cast<std::uint32_t>(CallLimit(now));
  bool reported_before = !last_report_.backend.empty();
  if (reported_before && last_report_.boot_id == warmth_.boot_id() && last_report_.state == state &&
      last_report_.share == share && last_report_.held == held_ranges_) {
    return;
  }
  last_report_.service = service_;
  last_report_.backend = backend_.name;
  last_report_.boot_id = warmth_.boot_id();
  last_report_.state = state;
  last_report_.share = share;
  last_report_.held = held_ranges_;
  hooks_.report(last_report_);
}

}  // namespace damaskroute
