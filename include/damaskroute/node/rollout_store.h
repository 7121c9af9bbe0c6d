#ifndef DAMASKROUTE_NODE_ROLLOUT_STORE_H_
#define DAMASKROUTE_NODE_ROLLOUT_STORE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_service.h"
#include "damaskroute/node/store_entry.h"
#include "damaskroute/rollout/rollout_table.h"
#include "damaskroute/store/store_item.h"

namespace damaskroute {

/// Wire format of a store with conditional writes, for rollouts. `ParseConditionalWrite` returns
/// the revision of the write, Aborted if a key has changed, and any other error for a failed call;
/// `ParseConflict` the keys of the conditions as they are now, from the response to an aborted
/// call.
template <typename T>
concept RolloutCodec = requires(const T& codec, const Endpoint& store, const std::string& text,
                                const RolloutWrite& write, const RolloutReport& report,
                                std::uint64_t revision, int status) {
  { codec.RenderWriteRollout(store, write) } -> std::same_as<std::string>;
  {
    codec.RenderWriteRolloutReport(store, text, text, report, revision)
    } -> std::same_as<std::string>;
  { codec.RenderDeleteRolloutReport(store, text, text) } -> std::same_as<std::string>;
  { codec.ParseConditionalWrite(status, text) } -> std::same_as<absl::StatusOr<std::uint64_t>>;
  { codec.ParseConflict(text) } -> std::same_as<std::vector<StoreItem>>;
};

/// Carries out what the `RolloutDecider` of each service decides: writes records and reports to the
/// store, one call at a time, and logs changes. Idle while the store has no order and no record.
/// Used on its event loop only.
template <RolloutCodec Codec>
class RolloutStore {
 public:
  struct Hooks {
    std::function<Duration()> store_age;
    /// Handles a key as it is in the store now.
    std::function<void(const StoreItem&)> on_item;
    /// Whether changes in the store matter at once; called when this changes.
    std::function<void()> on_urgency_changed;
  };

  /// `client` is a client of the store on the same loop; it and `service` must outlive this object.
  RolloutStore(asio::io_context& loop, BackendClient& client, const Endpoint& store, Codec codec,
               NodeName node, ForwardService& service, Hooks hooks)
      : client_(client),
        store_(store),
        codec_(std::move(codec)),
        node_(std::move(node)),
        service_(service),
        hooks_(std::move(hooks)),
        timer_(loop) {}

  void OnOrder(const ServiceName& service, const RolloutOrder& order, std::uint64_t revision) {
    At(service).OnOrder(order, revision, has_read_all_, Now());
    Schedule();
  }

  /// The store has an order that cannot be used.
  void OnOrderUnusable(const ServiceName& service, std::uint64_t revision) {
    if (RolloutDecider* decider = table().Find(service)) decider->OnOrderUnusable(revision);
  }

  void OnOrderRemoved(const ServiceName& service) {
    if (RolloutDecider* decider = table().Find(service)) decider->OnOrderRemoved(Now());
    Schedule();
  }

  void OnRecord(const ServiceName& service, const RolloutRecord& record, std::uint64_t revision) {
    At(service).OnRecord(record, revision, Now());
    Schedule();
  }

  void OnRecordRemoved(const ServiceName& service, std::uint64_t revision) {
    if (RolloutDecider* decider = table().Find(service)) decider->OnRecordRemoved(revision, Now());
    Schedule();
  }

  void OnReport(const ServiceName& service, const NodeName& node, const RolloutReport& report,
                std::uint64_t revision) {
    if (node == node_) own_revisions_[service] = revision;
    At(service).OnReport(node, report, Now());
  }

  /// The store has no report of this node, as the response to a conditional write says.
  void OnOwnReportMissing(const ServiceName& service) { own_revisions_[service] = 0; }

  void OnReportRemoved(const ServiceName& service, const NodeName& node) {
    if (RolloutDecider* decider = table().Find(service)) decider->OnReportRemoved(node);
  }

  void OnStoreRestored() {
    for (auto& [service, decider] : table().deciders()) decider.OnStoreRestored(Now());
  }

  /// All orders were read; `present` has their services.
  void OnAllOrders(const std::set<ServiceName>& present) {
    for (auto& [service, decider] : table().deciders()) {
      if (!present.contains(service)) decider.OnOrderRemoved(Now());
    }
    Schedule();
  }

  /// All items of the store were read; `records` has the services that have a record.
  void OnAllRead(const std::set<ServiceName>& orders, const std::set<ServiceName>& records) {
    has_read_all_ = true;
    if (table().empty()) return;
    for (auto& [service, decider] : table().deciders()) {
      if (records.contains(service)) continue;
      decider.OnRecordRemoved(std::numeric_limits<std::uint64_t>::max(), Now());
    }
    OnAllOrders(orders);
    OnBackendsChanged();
  }

  /// The entries of backend servers may have changed.
  void OnBackendsChanged() {
    if (!has_read_all_) return;
    for (auto& [service, decider] : table().deciders()) {
      decider.SetVersions(service_.VersionsOf(service));
    }
  }

  /// Whether changes in the store matter at once.
  bool IsUrgent() const { return urgent_; }

 private:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  // A slow store takes about 240 ms for a call.
  static constexpr std::chrono::milliseconds kCallTimeout{1000};

  static TimePoint Now() { return SteadyClock().Now(); }

  RolloutTable& table() { return service_.rollouts(); }

  RolloutDecider& At(const ServiceName& service) {
    service_.EnableVersions();
    return table().At(service);
  }

  void Schedule() {
    if (scheduled_ || table().empty()) return;
    scheduled_ = true;
    timer_.expires_after(std::chrono::milliseconds(0));
    Wait();
  }

  void Wait() {
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      if (Tick()) {
        timer_.expires_after(kTickInterval);
        return Wait();
      }
      scheduled_ = false;
    });
  }

  // Returns whether another tick is needed.
  bool Tick() {
    OnBackendsChanged();
    TimePoint now = Now();
    bool active = false;
    bool urgent = false;
    for (auto& [service, decider] : table().deciders()) {
      if (decider.IsActive()) {
        bool promoting = decider.state() == RolloutState::kPromoting;
        decider.SetOpenCalls(promoting ? service_.CountOpenCalls(service, decider.target()) : 0);
      }
      decider.OnTick(now, hooks_.store_age());
      active = active || decider.IsActive() || decider.HasStaleReport() || decider.IsStoredBehind();
      urgent = urgent || decider.IsUrgent();
    }
    for (auto& [service, decider] : table().deciders()) {
      if (!calling_) CallNext(service, decider, now);
      LogEvents(service, decider);
    }
    if (std::exchange(urgent_, urgent) != urgent) hooks_.on_urgency_changed();
    return active || calling_;
  }

  void CallNext(const ServiceName& service, RolloutDecider& decider, TimePoint now) {
    if (auto write = decider.NextWrite(now)) {
      return Call(codec_.RenderWriteRollout(store_, *write), "record of a rollout not written",
                  [this, service, write = *write](auto revision) {
                    RolloutDecider& decider = table().At(service);
                    if (revision.ok()) return decider.OnWritten(write, *revision, Now());
                    decider.OnWriteFailed(Now());
                  });
    }
    if (auto report = decider.NextReport(now)) {
      return Call(
          codec_.RenderWriteRolloutReport(store_, service, node_, *report, own_revisions_[service]),
          "report on a rollout not written", [this, service, report = *report](auto revision) {
            RolloutDecider& decider = table().At(service);
            if (revision.ok()) {
              own_revisions_[service] = *revision;
              return decider.OnReportWritten(report, Now());
            }
            // The revision is known from the conflict.
            if (!absl::IsAborted(revision.status())) decider.OnReportFailed(Now());
          });
    }
    if (decider.HasStaleReport()) {
      Call(codec_.RenderDeleteRolloutReport(store_, service, node_),
           "report on a rollout not deleted", [this, service](auto revision) {
             if (!revision.ok()) return;
             own_revisions_[service] = 0;
             table().At(service).OnReportDeleted();
           });
    }
  }

  // `done` gets the revision of the write, or the error.
  template <typename Done>
  void Call(std::string bytes, const char* failure, Done done) {
    ExchangeRequest request;
    request.bytes = std::move(bytes);
    request.time_left = kCallTimeout;
    calling_ = true;
    client_.Start(std::move(request), [this, failure,
                                       done = std::move(done)](const ExchangeResult& result) {
      calling_ = false;
      absl::StatusOr<std::uint64_t> revision = absl::UnavailableError(ExchangeEndName(result.end));
      if (result.end == ExchangeEnd::kAnswered) {
        revision = codec_.ParseConditionalWrite(result.status, result.body);
      }
      if (absl::IsAborted(revision.status())) {
        for (const StoreItem& item : codec_.ParseConflict(result.body)) hooks_.on_item(item);
      } else if (!revision.ok()) {
        LogLine(LogLevel::kWarning, failure).Field("error", ErrorText(revision.status()));
      }
      done(std::move(revision));
      Schedule();
    });
  }

  static void LogEvents(const ServiceName& service, RolloutDecider& decider) {
    for (const RolloutEvent& event : decider.TakeEvents()) {
      LogLine(event.warning ? LogLevel::kWarning : LogLevel::kInfo, "rollout changed")
          .Field("service", service)
          .Field("target_version", event.target_version)
          .Field("change", event.message)
          .Field("reason", event.reason)
          .Field("age_ms", event.age.count())
          .Field("target_responses", event.verdict.target.responses)
          .Field("target_failures", event.verdict.target.failures)
          .Field("other_responses", event.verdict.others.responses)
          .Field("other_failures", event.verdict.others.failures)
          .Field("failure_score", event.verdict.failure_score)
          .Field("slow_score", event.verdict.slow_score);
    }
  }

  BackendClient& client_;
  const Endpoint store_;
  const Codec codec_;
  const NodeName node_;
  ForwardService& service_;
  const Hooks hooks_;
  asio::steady_timer timer_;
  std::map<ServiceName, std::uint64_t> own_revisions_;  // Of this node's reports.
  bool has_read_all_ = false;
  bool scheduled_ = false;
  bool calling_ = false;
  bool urgent_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_ROLLOUT_STORE_H_
