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
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/forward/query_place.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute::model {

/// Plays one day in simulated time: callers, nodes and backend servers. The nodes decide with the
/// product's own classes; only sockets, servers and callers are modelled. Equal seeds give equal
/// results.
class ForwardModel {
 public:
  ForwardModel(ModelDay day, const ModelPolicy& policy, std::uint64_t seed);
  ~ForwardModel();
  ForwardModel(const ForwardModel&) = delete;
  ForwardModel& operator=(const ForwardModel&) = delete;

  /// Plays the whole day. Call once.
  ModelResult Play();

 private:
  struct Node;
  struct Query;

  /// One call of a query. Numbers of calls start anew with each attempt, so the id tells them
  /// apart.
  struct CallKey {
    std::shared_ptr<Query> query;
    std::uint32_t call = 0;
    std::uint64_t id = 0;
  };

  void MakeServers();
  void MakeNodes();
  void PlanTroubles();
  void Plan(const ModelTrouble& trouble);
  void ScheduleNext(std::size_t kind);
  void Ask(std::size_t kind);
  void Arrive(const std::shared_ptr<Query>& query);
  void Carry(const std::shared_ptr<Query>& query, std::vector<ForwardAction> actions);
  void StartCall(const std::shared_ptr<Query>& query, const SendCall& send);
  /// The server of a call that is still open; null otherwise.
  static std::shared_ptr<Backend> OpenBackend(const CallKey& key);
  void OnNoConnection(const CallKey& key);
  void Deliver(const CallKey& key, Duration work);
  void Return(const CallKey& key, ModelServer::End end);
  void EndCall(const std::shared_ptr<Query>& query, std::uint32_t call, CallEnd end);
  void Cancel(const std::shared_ptr<Query>& query, std::uint32_t call);
  void Conclude(const std::shared_ptr<Query>& query, const ForwardAnswer& answer);
  void OnRefused(const std::shared_ptr<Query>& query, std::chrono::milliseconds retry_after);
  void OnFailed(const std::shared_ptr<Query>& query);
  void AskAgain(const std::shared_ptr<Query>& query, Duration pause);
  void Count(const Query& query, double credit);
  void Probe(Node& node, const std::shared_ptr<Backend>& backend);
  Node& NodeFor(const ZoneName& zone, const Node* but);
  bool Reaches(const ZoneName& from, const ZoneName& to) const;
  Duration Delay(const ZoneName& from, const ZoneName& to) const;
  Duration Work(const ModelClass& kind);

  const ModelDay day_;
  const ModelPolicy policy_;
  Random arrivals_;  // Of its own, so that all policies get the same queries.
  Random random_;
  EventQueue events_;
  TimePoint start_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<BackendName, std::unique_ptr<ModelServer>> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<ZoneName, TimePoint> cut_since_;
  double crowd_ = 1;
  std::uint64_t next_call_ = 1;
  ModelResult result_;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_FORWARD_MODEL_H_
