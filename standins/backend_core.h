#ifndef STANDINS_BACKEND_CORE_H_
#define STANDINS_BACKEND_CORE_H_

#include <rapidjson/fwd.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "standins/backend_call.h"
#include "standins/backend_options.h"
#include "standins/backend_stats.h"
#include "standins/fault.h"
#include "standins/http_server.h"
#include "standins/run_log.h"

namespace damaskroute::standins {

/// Implementation of `BackendStandin`. Not thread-safe: all member functions are called on the
/// thread of the io_context.
class BackendCore : public std::enable_shared_from_this<BackendCore> {
 public:
  BackendCore(asio::io_context& io, BackendName name, const Endpoint& endpoint,
              const BackendOptions& options);

  absl::Status Start();
  void Close();

  absl::Status Control(std::string_view json);
  void Publish(IndexVersion version, const std::vector<KeyRange>& ranges);

  /// Handles a request to a control resource. `connection` need not belong to this server, so that
  /// one control port can serve many backend servers.
  void HandleControl(const std::shared_ptr<HttpConnection>& connection, const HttpRequest& request,
                     std::string_view path);

  const Endpoint& endpoint() const { return endpoint_; }
  const BackendStats& stats() const { return stats_; }
  const RunLog& log() const { return log_; }
  BootId boot_id() const { return boot_id_; }
  std::string StatsJson() const;

 private:
  using CallPtr = std::shared_ptr<BackendCall>;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void Handle(const ConnectionPtr& connection, HttpRequest&& request);
  void HandleCall(const ConnectionPtr& connection, const HttpRequest& request, bool is_action);
  bool ParseCall(BackendCall& call, const HttpRequest& request, bool is_action);
  bool ResolveRange(BackendCall& call, const HttpRequest& request);
  void Admit(const CallPtr& call);
  void RecordConcurrency();
  void Enqueue(const CallPtr& call);
  void Run(const CallPtr& call);
  void Finish(const CallPtr& call);
  void Answer(const CallPtr& call);
  void AnswerWithFaults(const CallPtr& call, int status, const std::string& body);
  void Refuse(const CallPtr& call, int status);
  void RemoveCall(const CallPtr& call);
  void RunWaiting();
  void HandleCancel(const ConnectionPtr& connection, std::string_view path);
  void OnPeerClosed(const CallPtr& call);
  void Crash();
  void Restart();
  void Boot();
  void TurnCold();
  void UpdateWarmup();
  std::string_view State() const;
  std::string StateJson(std::string_view state, std::string_view in_flight) const;
  void AnswerState(const ConnectionPtr& connection);
  std::string CommonHeaders() const;
  std::size_t InFlight() const { return calls_.size(); }
  absl::Status ApplyControlMember(std::string_view name, const rapidjson::Value& value);
  absl::Status ApplyPublish(const rapidjson::Value& value);

  asio::io_context& io_;
  BackendName name_;
  Endpoint endpoint_;
  BackendOptions options_;
  FaultRules faults_;
  Random random_;
  std::shared_ptr<HttpServer> server_;
  BootId boot_id_ = 0;
  bool cold_ = false;
  bool draining_ = false;
  bool down_ = true;
  std::uint64_t answers_until_warm_ = 0;  ///< Remaining answers; 0: no warm-up.
  std::map<IndexVersion, std::shared_ptr<const IndexRows>> versions_;
  std::vector<CallPtr> calls_;  ///< Waiting and running calls.
  std::deque<CallPtr> waiting_;
  int running_ = 0;
  BackendStats stats_;
  RunLog log_;
  std::string state_json_;
  TimePoint state_sampled_at_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_BACKEND_CORE_H_
