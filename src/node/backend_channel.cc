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

}  // namespace

BackendChannel::BackendChannel(EventLoop& loop, const ServiceName& service, BackendServer backend,
                               WarmthOptions warmth, LatencyQuantiles& latency,
                               BackendChannelHooks hooks)
    : service_(service),
      backend_(std::move(backend)),
      hooks_(std::move(hooks)),
      warmth_(std::move(warmth)),
      queue_(CallQueueSettings{}, latency),
      client_(loop.context(), backend_.endpoint, 0),
      queue_timer_(loop.context()),
      tick_timer_(loop.context()) {
  ArmTick();
}

BackendChannel::~BackendChannel() = default;

void BackendChannel::SetLimit(const Share& share, std::uint64_t sequence, bool accepts_work,
                              NodeName first_holder) {
  bool returned = accepts_work && !accepts_work_;
  share_ = share;
  accepts_work_ = accepts_work;
  first_holder_ = std::move(first_holder);
  limit_sequence_ = sequence;
  warmth_.SetShare(share, Now());
  if (returned) warmth_.OnContrary(Now());
  client_.SetMaxConnections(share.connections);
  UpdateLimit();
  CheckWithinLimit();
  Report();
  if (share_.connections > 0 && !health_running_) PollHealth();
}

void BackendChannel::Submit(HolderCall call) {
  std::uint64_t token = next_token_++;
  CallTicket ticket{token, call.priority(), call.deadline};
  if (!call.action) {
    tokens_[{call.reply_to, call.query_id(), call.call.call_id}] = token;
  }
  calls_.emplace(token, Entry{std::move(call), 0, {}});
  // The allowance of the second holder ends by time alone, so it is read before each start.
  UpdateLimit();
  Apply(queue_.Enqueue(ticket, Now()));
}

void BackendChannel::Cancel(const Endpoint& from, std::uint64_t query_id, std::uint32_t call_id) {
  auto it = tokens_.find({from, query_id, call_id});
  if (it == tokens_.end()) return;
  std::uint64_t token = it->second;
  bool waits = calls_.at(token).exchange == 0;
  Apply(queue_.Cancel(token, Now()));
  if (!waits) return;
  tokens_.erase(it);
  calls_.erase(token);
}

void BackendChannel::Apply(std::vector<QueueAction> actions) {
  for (const QueueAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      Start(start->token);
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
        if (!error) Apply(queue_.OnTimer(Now()));
      });
    }
  }
}

void BackendChannel::Start(std::uint64_t token) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  Entry& entry = it->second;
  entry.started = Now();
  entry.exchange = client_.Start(MakeExchangeRequest(entry.call, backend_.endpoint, entry.started),
                                 [this, token](ExchangeResult result) { Finish(token, result); });
}

void BackendChannel::Finish(std::uint64_t token, const ExchangeResult& result) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  Entry entry = std::move(it->second);
  calls_.erase(it);
  if (!entry.call.action) {
    tokens_.erase({entry.call.reply_to, entry.call.query_id(), entry.call.call.call_id});
  }
  Learn(entry, result);
  std::string rows;
  ShardOutcome outcome = JudgeExchange(entry.call, result, rows);
  Reply(entry.call, outcome, result, std::move(rows));
  Apply(queue_.OnDone(token, outcome == ShardOutcome::kRows, Now()));
  UpdateLimit();
  CheckWithinLimit();
  Report();
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
  reply.boot_id = result.boot_id != 0 ? result.boot_id : warmth_.boot_id();
  reply.in_flight = static_cast<std::uint32_t>(calls_.size());
  hooks_.reply(call.reply_to, std::move(reply));
}

void BackendChannel::RequestCancel(std::uint64_t token) {
  auto it = calls_.find(token);
  if (it == calls_.end() || it->second.exchange == 0) return;
  // The backend server answers a cancelled call with 499 and keeps its connection. Closing the
  // connection instead would cost a new one, 1 to 6 ms, so that is the second choice.
  client_.Start(MakeCancelRequest(it->second.call, backend_.endpoint),
                [this, token](const ExchangeResult& result) {
                  if (result.end == ExchangeEnd::kAnswered) return;
                  auto entry = calls_.find(token);
                  if (entry != calls_.end()) client_.Cancel(entry->second.exchange);
                });
}

void BackendChannel::Learn(const Entry& entry, const ExchangeResult& result) {
  TimePoint now = Now();
  if (result.end == ExchangeEnd::kAnswered) {
    BackendState state = ParseBackendState(result.state);
    draining_ = state == BackendState::kDraining;
    warmth_.OnAnswer(
        {result.boot_id, state == BackendState::kWarm, result.status == 503, entry.started}, now);
  } else if (result.end == ExchangeEnd::kConnectFailed ||
             result.end == ExchangeEnd::kConnectionLost) {
    warmth_.OnContrary(now);
  }
}

void BackendChannel::UpdateLimit() {
  int allowed = accepts_work_ ? std::min(share_.slots, warmth_.Allowed(Now())) : 0;
  Apply(queue_.SetLimit(static_cast<std::uint32_t>(std::max(allowed, 0)), Now()));
}

void BackendChannel::CheckWithinLimit() {
  if (confirmed_sequence_ == limit_sequence_) return;
  if (queue_.running() > static_cast<std::size_t>(share_.slots)) return;
  if (client_.open_connections() > static_cast<std::size_t>(share_.connections)) return;
  confirmed_sequence_ = limit_sequence_;
  hooks_.within_limit(backend_.name, limit_sequence_);
}

void BackendChannel::OnWarmQuery(const NodeName& from, const WarmQuery& query) {
  auto grant = warmth_.OnQuery(query, Now());
  UpdateLimit();
  if (grant) hooks_.to_node(from, *grant);
}

void BackendChannel::OnWarmGrant(const WarmGrant& grant) {
  warmth_.OnGrant(grant, Now());
  UpdateLimit();
  Report();
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
  if (auto query = warmth_.OnTimer(Now()); query && accepts_work_ && !first_holder_.empty()) {
    hooks_.to_node(first_holder_, *query);
  }
  UpdateLimit();
  CheckWithinLimit();
  if (Now() >= next_health_ && !health_running_ && share_.connections > 0) PollHealth();
  Report();
}

void BackendChannel::PollHealth() {
  health_running_ = true;
  next_health_ = Now() + kHealthPeriod;
  client_.Start(MakeHealthRequest(backend_.endpoint),
                [this](const ExchangeResult& result) { OnHealth(result); });
}

void BackendChannel::OnHealth(const ExchangeResult& result) {
  health_running_ = false;
  if (result.end != ExchangeEnd::kAnswered || result.status != 200) {
    ++failed_polls_;
  } else if (auto health = ParseBackendHealth(result.body); health.ok()) {
    failed_polls_ = 0;
    held_ = std::move(health->held);
    draining_ = health->state == BackendState::kDraining;
  }
  CheckWithinLimit();
  Report();
}

void BackendChannel::Report() {
  BackendReport report;
  report.service = service_;
  report.backend = backend_.name;
  report.boot_id = warmth_.boot_id();
  int allowed = accepts_work_ ? std::min(share_.slots, warmth_.Allowed(Now())) : 0;
  report.share = static_cast<std::uint32_t>(std::max(allowed, 0));
  if (failed_polls_ >= kFailedPollsUntilDown) {
    report.state = BackendState::kDown;
  } else if (draining_) {
    report.state = BackendState::kDraining;
  } else {
    report.state = warmth_.Warm(Now()) ? BackendState::kWarm : BackendState::kCold;
  }
  report.held = held_;
  if (report == last_report_) return;
  last_report_ = report;
  hooks_.report(std::move(report));
}

}  // namespace damaskroute
