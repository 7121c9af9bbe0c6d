#ifndef DAMASKROUTE_STORE_LEASED_KEY_H_
#define DAMASKROUTE_STORE_LEASED_KEY_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

/// Wire format of a store with leases; `ParseEra` as in `WatchedStoreCodec`. The parse functions
/// return NotFound if the lease has ended, and any other error for a failed call.
template <typename T>
concept LeaseCodec = requires(const T& codec, const Endpoint& store, std::uint64_t lease,
                              std::chrono::milliseconds ttl, const NodeName& node, int status,
                              const std::string& body, const std::vector<HeaderField>& headers) {
  { codec.RenderOpenLease(store, ttl) } -> std::same_as<std::string>;
  { codec.RenderWriteNode(store, node, body, lease) } -> std::same_as<std::string>;
  { codec.RenderRenew(store, lease) } -> std::same_as<std::string>;
  { codec.ParseEra(headers) } -> std::same_as<std::optional<std::uint64_t>>;
  { codec.ParseLease(status, body) } -> std::same_as<absl::StatusOr<Lease>>;
  { codec.ParseAck(status) } -> std::same_as<absl::Status>;
};

/// Keeps this node's key in the store, by which nodes count and find each other. Used on its event
/// loop only.
template <LeaseCodec Codec>
class LeasedKey {
 public:
  /// `client` is a client of the store on the same loop and must outlive this object.
  LeasedKey(asio::io_context& loop, BackendClient& client, const Endpoint& store, Codec codec,
            NodeName node, std::string record, std::chrono::milliseconds ttl, std::uint64_t seed)
      : client_(client),
        store_(store),
        codec_(std::move(codec)),
        node_(std::move(node)),
        record_(std::move(record)),
        ttl_(ttl),
        schedule_(ttl, seed),
        timer_(loop) {}

  void Start() { Step(); }

  /// The store stated its era, in a response to any call. In a new era the key is written again.
  void OnStoreEra(std::uint64_t era) {
    if (!UpdateEra(era) || calling_) return;
    timer_.cancel();
    Step();
  }

 private:
  // Not urgent, so a slow store gets the time to respond.
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
    calling_ = true;
    client_.Start(std::move(request), [this, kind = step.kind,
                                       sent_era = era_](const ExchangeResult& result) {
      calling_ = false;
      absl::Status status = OnLeaseResponse(kind, sent_era, result);
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
    if (step.kind == LeaseStepKind::kOpen) return codec_.RenderOpenLease(store_, ttl_);
    if (step.kind == LeaseStepKind::kWrite) {
      return codec_.RenderWriteNode(store_, node_, record_, step.lease);
    }
    return codec_.RenderRenew(store_, step.lease);
  }

  absl::Status OnLeaseResponse(LeaseStepKind kind, std::uint64_t sent_era,
                               const ExchangeResult& result) {
    if (result.end != ExchangeEnd::kAnswered) {
      return absl::UnavailableError(ExchangeEndName(result.end));
    }
    auto era = codec_.ParseEra(result.headers).value_or(era_);
    UpdateEra(era);
    // A lease id of another era may be that of another node's lease.
    bool other_lease = kind != LeaseStepKind::kOpen && sent_era != era_;
    if (other_lease || era < era_) return absl::AbortedError("the store was restored meanwhile");
    if (kind != LeaseStepKind::kOpen) {
      absl::Status status = codec_.ParseAck(result.status);
      if (status.ok()) schedule_.OnRenewed(Now());
      return status;
    }
    auto lease = codec_.ParseLease(result.status, result.body);
    if (lease.ok()) schedule_.OnOpened(lease->id, lease->ttl);
    return lease.status();
  }

  // Returns whether the store was restored since the last call.
  bool UpdateEra(std::uint64_t era) {
    if (era <= era_) return false;
    bool restored = era_ != 0;
    era_ = era;
    if (!restored) return false;
    LogLine(LogLevel::kInfo, "node's key is written again").Field("era", era);
    schedule_.OnStoreRestored(Now());
    return true;
  }

  BackendClient& client_;
  const Endpoint store_;
  const Codec codec_;
  const NodeName node_;
  const std::string record_;
  const std::chrono::milliseconds ttl_;
  LeaseSchedule schedule_;
  asio::steady_timer timer_;
  std::uint64_t era_ = 0;
  bool calling_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASED_KEY_H_
