#ifndef STANDINS_PLATFORM_CORE_H_
#define STANDINS_PLATFORM_CORE_H_

#include <rapidjson/fwd.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "standins/http_server.h"
#include "standins/key_value_table.h"
#include "standins/platform_options.h"
#include "standins/platform_stats.h"

namespace damaskroute::standins {

/// Implementation of `PlatformStandin`. Not thread-safe: all member functions are called on the
/// thread of the io_context.
class PlatformCore : public std::enable_shared_from_this<PlatformCore> {
 public:
  PlatformCore(asio::io_context& io, const Endpoint& endpoint, const PlatformOptions& options);

  absl::Status Start();
  void Close();
  absl::Status Control(std::string_view json);
  const Endpoint& endpoint() const { return endpoint_; }
  PlatformStats Stats() const;

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  enum class CallKind : std::uint8_t { kRead, kWrite, kWatch, kLease, kVmList, kControl, kUnknown };
  struct Watcher {
    Watcher(asio::io_context& io, ConnectionPtr peer, std::string watched, std::uint64_t version)
        : connection(std::move(peer)), key(std::move(watched)), after(version), timer(io) {}
    ConnectionPtr connection;
    std::string key;
    std::uint64_t after = 0;
    asio::steady_timer timer;
  };
  using WatcherPtr = std::shared_ptr<Watcher>;
  // Calls counted for a rate limit since `start`; a window lasts one second.
  struct RateWindow {
    TimePoint start;
    std::uint64_t calls = 0;
  };

  static CallKind ClassifyRequest(const HttpRequest& request);
  void Handle(const ConnectionPtr& connection, HttpRequest&& request);
  void ProcessRequest(const ConnectionPtr& connection, const HttpRequest& request, CallKind kind);
  void CountCall(CallKind kind);
  bool ExceedsRateLimit(CallKind kind);
  void Read(const ConnectionPtr& connection, const HttpRequest& request);
  void Write(const ConnectionPtr& connection, const HttpRequest& request);
  void AnswerWrite(const ConnectionPtr& connection, int status, std::uint64_t version);
  void Watch(const ConnectionPtr& connection, const HttpRequest& request);
  void RemoveWatcher(const WatcherPtr& watcher);
  absl::Status ApplyControlMember(std::string_view name, const rapidjson::Value& value);
  void AbortWatches();
  void NotifyWatchers(const std::string& key);
  void HandleLease(const ConnectionPtr& connection, const HttpRequest& request);
  void HandleControl(const ConnectionPtr& connection, const HttpRequest& request);
  void ScheduleExpiry();
  void ExpireLeases();
  void PublishVmList(std::string json);
  void RespondValue(const ConnectionPtr& connection, const StoredValue* stored);
  std::string StatsJson() const;

  asio::io_context& io_;
  Endpoint endpoint_;
  PlatformOptions options_;
  Random random_;
  std::shared_ptr<HttpServer> server_;
  asio::steady_timer expiry_timer_;
  KeyValueTable table_;
  KeyValueTable backup_;
  std::list<WatcherPtr> watchers_;
  RateWindow read_window_;
  RateWindow write_window_;
  std::string vms_json_ = R"({"vms":[]})";
  PlatformStats stats_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_CORE_H_
