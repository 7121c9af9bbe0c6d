#ifndef DAMASKROUTE_STORE_LEASED_KEY_H_
#define DAMASKROUTE_STORE_LEASED_KEY_H_

#include <concepts>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/store/lease.h"
#include "damaskroute/store/lease_schedule.h"

namespace damaskroute {

/// Wire format of a store with leases. The parse functions give NotFound if the lease has ended,
/// and any other error for a failed call.
template <typename T>
concept LeaseCodec = requires(const T& codec, const Endpoint& store, std::uint64_t lease,
                              std::chrono::milliseconds life, const NodeName& node, int status,
                              const std::string& body) {
  { codec.RenderOpenLease(store, life) } -> std::same_as<std::string>;
  { codec.RenderWriteNode(store, node, body, lease) } -> std::same_as<std::string>;
  { codec.RenderRenew(store, lease) } -> std::same_as<std::string>;
  { codec.ParseLease(status, body) } -> std::same_as<absl::StatusOr<Lease>>;
  { codec.ParseDone(status) } -> std::same_as<absl::Status>;
};

/// Keeps the node's own key in the store, by which nodes count and find each other. Used on its
/// loop only.
template <LeaseCodec Codec>
class LeasedKey {
 public:
  /// `client` is a client of the store on the same loop; it outlives this object.
  LeasedKey(asio::io_context& loop, BackendClient& client, const Endpoint& store, Codec codec,
            NodeName node, std::string record, std::chrono::milliseconds life, std::uint64_t seed)
      : client_(client),
        store_(store),
        codec_(std::move(codec)),
        node_(std::move(node)),
        record_(std::move(record)),
        life_(life),
        schedule_(life, seed),
        timer_(loop) {}

  void Start() { Step(); }

 private:
  // The key is no more urgent than a slow store.
  static constexpr std::chrono::milliseconds kCallTimeout{2000};

  static TimePoint Now() { return SteadyClock().Now(); }

  void Step() {
    LeaseStep step = schedule_.Next(Now());
    if (step.kind == LeaseStepKind::kPause) {
      timer_.expires_at(step.until);
      timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) Step();
      });
      return;
    }
    ExchangeRequest request;
    request.bytes = Render(step);
    request.time_left = kCallTimeout;
    client_.Start(std::move(request), [this, kind = step.kind](const ExchangeResult& result) {
      absl::Status status = OnAnswer(kind, result);
      if (absl::IsNotFound(status)) {
        schedule_.OnEnded();
        LogLine(LogLevel::kInfo, "lease of the node's key ended");
      } else if (!status.ok()) {
        schedule_.OnFailure(Now());
        LogLine(LogLevel::kWarning, "node's key not kept").Field("error", ErrorText(status));
      }
      Step();
    });
  }

  std::string Render(const LeaseStep& step) const {
    if (step.kind == LeaseStepKind::kOpen) return codec_.RenderOpenLease(store_, life_);
    if (step.kind == LeaseStepKind::kWrite) {
      return codec_.RenderWriteNode(store_, node_, record_, step.lease);
    }
    return codec_.RenderRenew(store_, step.lease);
  }

  absl::Status OnAnswer(LeaseStepKind kind, const ExchangeResult& result) {
    if (result.end != ExchangeEnd::kAnswered) return absl::UnavailableError("no answer");
    if (kind != LeaseStepKind::kOpen) {
      absl::Status status = codec_.ParseDone(result.status);
      if (status.ok()) schedule_.OnRenewed(Now());
      return status;
    }
    auto lease = codec_.ParseLease(result.status, result.body);
    if (lease.ok()) schedule_.OnOpened(lease->id, lease->life);
    return lease.status();
  }

  BackendClient& client_;
  const Endpoint store_;
  const Codec codec_;
  const NodeName node_;
  const std::string record_;
  const std::chrono::milliseconds life_;
  LeaseSchedule schedule_;
  asio::steady_timer timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASED_KEY_H_
