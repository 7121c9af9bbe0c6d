#include "damaskroute/node/quota_exchange.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "damaskroute/core/boot_clock.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_node_settings.h"
#include "damaskroute/node/node_count.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum number of datagrams that are read before the loop runs other handlers.
constexpr int kMaxBatch = 64;

constexpr std::chrono::seconds kRefreshInterval{1};

// Two statements of the store's age that differ by less refer to the same confirmation.
constexpr milliseconds kSameConfirmation{2};

constexpr milliseconds kMinGrantValidity{60};
constexpr milliseconds kMaxGrantValidity{500};

}  // namespace

// Grants that are used late add the rate of their validity to a window.
QuotaOptions MakeQuotaOptions(const QuotaBounds& bounds, milliseconds join_delay) {
  QuotaOptions options;
  options.bounds = bounds;
  options.grant_validity = std::clamp(duration_cast<milliseconds>(bounds.window * bounds.overshoot),
                                      kMinGrantValidity, kMaxGrantValidity);
  options.join_delay = join_delay;
  return options;
}

std::uint64_t MakeQuotaIncarnation(const NodeName& node) {
  std::random_device device;
  std::uint64_t random = std::uint64_t{device()} << 32 | device();
  return Hash64(node, random ^ static_cast<std::uint64_t>(TimeSinceBoot().count())) | 1;
}

QuotaExchange::QuotaExchange(asio::io_context& loop, NodeName node, Endpoint listen,
                             std::uint64_t incarnation, const QuotaOptions& options,
                             std::function<View()> view)
    : node_(std::move(node)),
      listen_(std::move(listen)),
      options_(options),
      view_(std::move(view)),
      client_(node_, incarnation, options, TimeSinceBoot()),
      coordinator_(node_, incarnation, options),
      socket_(loop),
      timer_(loop),
      refresh_timer_(loop) {}

absl::Status QuotaExchange::Start() {
  boost::system::error_code error;
  asio::ip::udp::endpoint address(asio::ip::make_address(listen_.address, error), listen_.port);
  if (!error) socket_.open(address.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(address, error);
  if (error) {
    return absl::UnavailableError(fmt::format("cannot open UDP socket for quotas on {}: {}",
                                              FormatEndpoint(listen_), error.message()));
  }
  AwaitDatagrams();
  return absl::OkStatus();
}

void QuotaExchange::SetTenants(const std::vector<Tenant>& tenants) {
  auto table =
      std::make_shared<const QuotaTable>(tenants, options_.bounds, options_.grant_validity);
  if (!has_quotas_ && table->empty()) return;
  has_quotas_ = !table->empty();
  Refresh();
  Duration now = TimeSinceBoot();
  coordinator_.SetTable(table, now);
  client_.SetTable(std::move(table), now);
  Execute();
  ArmRefresh();
}

void QuotaExchange::Refresh() {
  if (!has_quotas_) return;
  View view = view_();
  Duration now = TimeSinceBoot();
  // The age is of the monotonic clock, which stops while the machine is suspended. It is therefore
  // converted only when the store has confirmed the view again.
  TimePoint confirmed = SteadyClock().Now() - view.age;
  bool confirmed_again = confirmed > confirmed_ + kSameConfirmation;
  if (confirmed_again) {
    confirmed_ = confirmed;
    client_.Confirm(now - view.age);
  }
  // While the view may be out of date, few counted nodes may be too few.
  std::size_t min_nodes = view.age > options_.join_delay ? NodeCount::kMinNodes : 1;
  if (view.counted == counted_ && view.endpoints == endpoints_ && min_nodes == min_nodes_) return;
  counted_ = std::move(view.counted);
  endpoints_ = std::move(view.endpoints);
  min_nodes_ = min_nodes;
  addresses_.clear();
  std::vector<NodeName> reachable;
  for (const auto& [name, endpoint] : endpoints_) {
    boost::system::error_code error;
    auto address = asio::ip::make_address(endpoint.address, error);
    if (error) continue;
    addresses_.emplace(name, asio::ip::udp::endpoint(address, endpoint.port));
    reachable.push_back(name);
  }
  if (view.joined_before) client_.SetJoinedBefore();
  coordinator_.SetNodes(counted_);
  client_.SetNodes(counted_, reachable, min_nodes_, Duration::zero(), now);
  Execute();
}

std::uint64_t QuotaExchange::Take(std::string_view tenant, OnVerdict on_verdict) {
  std::uint64_t waiter = next_waiter_++;
  waiters_.emplace(waiter, std::move(on_verdict));
  client_.Take(QuotaIdOf(tenant), waiter, TimeSinceBoot());
  Execute();
  return waiter;
}

void QuotaExchange::Cancel(std::string_view tenant, std::uint64_t waiter) {
  if (waiters_.erase(waiter) == 0) return;
  client_.Cancel(QuotaIdOf(tenant), waiter);
}

void QuotaExchange::Return(std::string_view tenant, Duration expires) {
  ++counters_.returned;
  client_.Return(QuotaIdOf(tenant), expires, TimeSinceBoot());
  Execute();
}

double QuotaExchange::LeasedFraction() {
  double sum = 0;
  for (std::size_t i = 0; i < QuotaTable::kSlots; ++i) {
    sum += coordinator_.FractionOf(i, TimeSinceBoot());
  }
  return sum / QuotaTable::kSlots;
}

// Messages to the own node and verdicts may cause further actions.
void QuotaExchange::Execute() {
  if (executing_) return;
  executing_ = true;
  std::weak_ptr<char> alive = alive_;
  while (true) {
    QuotaActions actions = client_.TakeActions();
    if (actions.sends.empty() && actions.verdicts.empty()) break;
    for (const QuotaSend& send : actions.sends) Send(send);
    for (const QuotaVerdict& verdict : actions.verdicts) {
      Deliver(verdict);
      if (alive.expired()) return;
    }
  }
  executing_ = false;
  ArmTimer();
}

void QuotaExchange::Send(const QuotaSend& send) {
  if (send.to == node_) {
    if (auto reply = Handle(send.message)) Handle(*reply);
    return;
  }
  auto address = addresses_.find(send.to);
  if (address != addresses_.end()) SendTo(address->second, send.message);
}

void QuotaExchange::SendTo(const asio::ip::udp::endpoint& to, const QuotaMessage& message) {
  std::string bytes = EncodeQuotaMessage(message);
  boost::system::error_code error;
  socket_.send_to(asio::buffer(bytes), to, 0, error);
  if (error) return;
  ++counters_.datagrams_sent;
  counters_.bytes_sent += bytes.size();
}

// Returns the reply to a message to the coordinator.
std::optional<QuotaMessage> QuotaExchange::Handle(const QuotaMessage& message) {
  Duration now = TimeSinceBoot();
  if (const auto* lease = std::get_if<QuotaLease>(&message)) {
    return coordinator_.OnLease(*lease, now);
  }
  if (const auto* ask = std::get_if<QuotaAsk>(&message)) return coordinator_.OnAsk(*ask, now);
  if (const auto* reply = std::get_if<QuotaLeaseReply>(&message)) {
    client_.OnLeaseReply(*reply, now);
  } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
    client_.OnGrant(*grant, now);
  }
  return std::nullopt;
}

void QuotaExchange::Deliver(const QuotaVerdict& verdict) {
  auto found = waiters_.find(verdict.waiter);
  if (found == waiters_.end()) return;
  auto on_verdict = std::move(found->second);
  waiters_.erase(found);
  switch (verdict.outcome) {
    case QuotaOutcome::kGranted:
      ++counters_.granted;
      break;
    case QuotaOutcome::kOverQuota:
      ++counters_.over_quota;
      break;
    case QuotaOutcome::kNoAnswer:
      ++counters_.unanswered;
      break;
  }
  on_verdict(verdict);
}

void QuotaExchange::AwaitDatagrams() {
  socket_.async_wait(asio::socket_base::wait_read,
                     [this, alive = std::weak_ptr(alive_)](const auto& error) {
                       if (error || alive.expired()) return;
                       ReceiveAll();
                       if (!alive.expired()) AwaitDatagrams();
                     });
}

void QuotaExchange::ReceiveAll() {
  for (int i = 0; i < kMaxBatch; ++i) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block) break;
    if (error) continue;  // The host of another node rejected a datagram of this socket.
    ++counters_.datagrams_received;
    counters_.bytes_received += size;
    auto message = DecodeQuotaMessage({buffer_.data(), size});
    if (!message.ok()) {
      ++counters_.malformed;
    } else if (has_quotas_) {
      if (auto reply = Handle(*message)) SendTo(from, *reply);
    }
  }
  Execute();
}

void QuotaExchange::ArmTimer() {
  Duration now = TimeSinceBoot();
  Duration next = has_quotas_ || client_.waiting() > 0 ? client_.NextTimer(now) : Duration::max();
  if (next == Duration::max()) {
    armed_for_ = TimePoint::max();
    timer_.cancel();
    return;
  }
  TimePoint at = SteadyClock().Now() + (next - now);
  if (armed_for_ != TimePoint::max() && armed_for_ <= at) return;
  armed_for_ = at;
  timer_.expires_at(at);
  timer_.async_wait([this, alive = std::weak_ptr(alive_)](const auto& error) {
    if (error || alive.expired()) return;
    armed_for_ = TimePoint::max();
    client_.OnTimer(TimeSinceBoot());
    Execute();
  });
}

void QuotaExchange::ArmRefresh() {
  if (!has_quotas_ || refresh_armed_) return;
  refresh_armed_ = true;
  refresh_timer_.expires_after(kRefreshInterval);
  refresh_timer_.async_wait([this, alive = std::weak_ptr(alive_)](const auto& error) {
    if (error || alive.expired()) return;
    refresh_armed_ = false;
    Refresh();
    LogSuspects();
    ArmRefresh();
  });
}

void QuotaExchange::LogSuspects() {
  std::string names;
  for (const NodeName& name : client_.Suspects()) names += name + "; ";
  if (names == logged_suspects_) return;
  logged_suspects_ = names;
  LogLine(
      names.empty() ? LogLevel::kInfo : LogLevel::kWarning,
      names.empty() ? "all coordinators of quotas answer" : "coordinators of quotas do not answer")
      .Field("nodes", names)
      .Field("unanswered", counters_.unanswered);
}

}  // namespace damaskroute
