#ifndef BENCHMARK_MODEL_FORWARD_MODEL_H_
#define BENCHMARK_MODEL_FORWARD_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmark/model/event_queue.h"
#include "benchmark/model/model_day.h"
#include "benchmark/model/model_policy.h"
#include "benchmark/model/model_result.h"
#include "benchmark/model/model_server.h"
#include "damaskroute/core/random.h"
#include "damaskroute/forward/admission_ticket.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute::model {

/// Simulates callers, nodes and backend servers over one day. The nodes use the product's classes
/// for their decisions; only sockets, servers and callers are modelled. Equal seeds give equal
/// results.
class ForwardModel {
 public:
  ForwardModel(ModelDay day, const ModelPolicy& policy, std::uint64_t seed);
  ~ForwardModel();
  ForwardModel(const ForwardModel&) = delete;
  ForwardModel& operator=(const ForwardModel&) = delete;

  /// Simulates the whole day. Must be called only once.
  ModelResult Run();

 private:
  struct Node;
  struct Query;

  /// One call of a query. Each attempt numbers its calls from the start again, so `id` makes the
  /// call unique.
  struct CallKey {
    std::shared_ptr<Query> query;
    std::uint32_t call = 0;
    std::uint64_t id = 0;
  };

  void MakeServers();
  void MakeNodes();
  void ScheduleFaults();
  void ScheduleFault(const ModelFault& fault);
  void ScheduleServerFault(const ModelFault& fault, ModelServer& server);
  void ScheduleNext(std::size_t kind);
  void StartQuery(std::size_t kind);
  void OnArrival(const std::shared_ptr<Query>& query);
  void Execute(const std::shared_ptr<Query>& query, std::vector<ForwardAction> actions);
  void StartCall(const std::shared_ptr<Query>& query, const SendCall& send);
  /// Returns the server of the call, or null if the call is no longer open.
  static std::shared_ptr<Backend> BackendOfOpenCall(const CallKey& key);
  void OnConnectFailed(const CallKey& key);
  void Deliver(const CallKey& key, Duration work);
  void OnReply(const CallKey& key, ModelServer::End end);
  void ReadRateLimit(const CallKey& key, Backend& backend);
  void EndCall(const std::shared_ptr<Query>& query, std::uint32_t call, CallEnd end);
  void Cancel(const std::shared_ptr<Query>& query, std::uint32_t call);
  void OnAnswer(const std::shared_ptr<Query>& query, const ForwardAnswer& answer);
  void OnRefused(const std::shared_ptr<Query>& query, std::chrono::milliseconds retry_after);
  void OnFailed(const std::shared_ptr<Query>& query);
  void SendAttempt(const std::shared_ptr<Query>& query, Duration delay);
  void RecordCredit(const Query& query, double credit);
  void ScheduleProbe(Node& node, const std::shared_ptr<Backend>& backend);
  Node& PickNode(const ZoneName& zone, const Node* excluded);
  bool IsReachable(const ZoneName& from, const ZoneName& to) const;
  Duration NetworkDelay(const ZoneName& from, const ZoneName& to) const;
  Duration SampleWork(const ModelQueryClass& kind);

  const ModelDay day_;
  const ModelPolicy policy_;
  Random arrivals_;  // Separate generator, so that all policies get the same queries.
  Random random_;
  EventQueue events_;
  TimePoint start_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<BackendName, std::unique_ptr<ModelServer>> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<ZoneName, TimePoint> isolated_since_;
  double load_factor_ = 1;
  std::uint64_t next_call_ = 1;
  ModelResult result_;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_FORWARD_MODEL_H_
