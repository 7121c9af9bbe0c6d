#ifndef DAMASKROUTE_NODE_QUOTA_EXCHANGE_H_
#define DAMASKROUTE_NODE_QUOTA_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_client.h"
#include "damaskroute/quota/quota_codec.h"
#include "damaskroute/quota/quota_coordinator.h"
#include "damaskroute/quota/quota_options.h"

namespace damaskroute {

struct QuotaBounds;

/// Derives the amounts and times of the quota protocol from the bounds of the deployment.
/// `join_delay`: time within which all nodes know that a node has joined.
QuotaOptions MakeQuotaOptions(const QuotaBounds& bounds, std::chrono::milliseconds join_delay);

/// A random number for a process of `node`; not 0.
std::uint64_t MakeQuotaIncarnation(const NodeName& node);

/// Counts of a `QuotaExchange` since its start.
struct QuotaCounters {
  std::uint64_t granted = 0;
  std::uint64_t over_quota = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t returned = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed = 0;
};

/// Runs the `QuotaClient` and the `QuotaCoordinator` of a node on a UDP socket. Sends nothing and
/// sets no timer while no tenant has a quota. Must only be used on its event loop.
class QuotaExchange {
 public:
  /// What the node knows about the others.
  struct View {
    std::vector<NodeName> counted;           ///< In ascending order.
    std::map<NodeName, Endpoint> endpoints;  ///< Of those that take part.
    Duration age{};                          ///< Time since the store confirmed it.
    bool joined_before = false;              ///< See `QuotaClient::SetJoinedBefore`.
  };

  using OnVerdict = std::function<void(const QuotaVerdict&)>;

  /// `incarnation`: differs between processes and is not 0.
  QuotaExchange(asio::io_context& loop, NodeName node, Endpoint listen, std::uint64_t incarnation,
                const QuotaOptions& options, std::function<View()> view);
  QuotaExchange(const QuotaExchange&) = delete;
  QuotaExchange& operator=(const QuotaExchange&) = delete;

  /// Binds the socket. Returns Unavailable if that fails.
  absl::Status Start();

  /// Prepares the end of the process: other nodes take over its coordination.
  void Leave() { coordinator_.Leave(); }

  /// Sets the quotas of a new configuration.
  void SetTenants(const std::vector<Tenant>& tenants);

  /// Reads the view of the nodes again. Also done once a second.
  void Refresh();

  bool HasQuota(std::string_view tenant) const {
    return !tenant.empty() && has_quotas_ && client_.HasQuota(QuotaIdOf(tenant));
  }

  /// Requests a token; `on_verdict` is called once, possibly before this returns. Returns a number
  /// for `Cancel`.
  std::uint64_t Take(std::string_view tenant, OnVerdict on_verdict);

  /// Withdraws a request; its `on_verdict` is not called.
  void Cancel(std::string_view tenant, std::uint64_t waiter);

  /// Takes back the token of a request that has not run.
  void Return(std::string_view tenant, Duration expires);

  const QuotaCounters& counters() const { return counters_; }
  std::size_t waiting() const { return client_.waiting(); }

  /// Sum of the fractions of the slots that are leased to this node, in units of all quotas.
  double LeasedFraction();

 private:
  void Execute();
  void Send(const QuotaSend& send);
  void SendTo(const asio::ip::udp::endpoint& to, const QuotaMessage& message);
  std::optional<QuotaMessage> Handle(const QuotaMessage& message);
  void Deliver(const QuotaVerdict& verdict);
  void AwaitDatagrams();
  void ReceiveAll();
  void ArmTimer();
  void ArmRefresh();
  void LogSuspects();

  const NodeName node_;
  const Endpoint listen_;
  const QuotaOptions options_;
  const std::function<View()> view_;
  QuotaClient client_;
  QuotaCoordinator coordinator_;
  bool has_quotas_ = false;
  std::vector<NodeName> counted_;
  std::map<NodeName, Endpoint> endpoints_;
  std::size_t min_nodes_ = 0;
  TimePoint confirmed_;  // Of the last view.
  std::unordered_map<NodeName, asio::ip::udp::endpoint> addresses_;
  std::unordered_map<std::uint64_t, OnVerdict> waiters_;
  std::uint64_t next_waiter_ = 1;
  bool executing_ = false;
  std::string logged_suspects_;
  QuotaCounters counters_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  asio::steady_timer refresh_timer_;
  bool refresh_armed_ = false;
  std::array<char, kMaxQuotaDatagram + 1> buffer_{};
  // Completion handlers hold a weak pointer to it and return early once this object is destroyed.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_QUOTA_EXCHANGE_H_
