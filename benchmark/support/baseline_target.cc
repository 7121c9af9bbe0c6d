#include "benchmark/support/baseline_target.h"

#include <algorithm>
#include <utility>

#include "damaskroute/node/backend_health.h"
#include "damaskroute/node/shard_exchange.h"
#include "fmt/format.h"

namespace damaskroute::bench {
namespace {

constexpr int kConnectionsPerBackend = 2000;

// Reads the health of all backend servers, one after the other, on a separate event loop.
std::vector<BackendHealth> FetchHealth(const Service& service) {
  std::vector<BackendHealth> healths;
  asio::io_context context;
  for (const BackendServer& backend : service.backends) {
    BackendClient client(context, backend.endpoint, 1);
    bool ended = false;
    client.Start(MakeHealthRequest(backend.endpoint), [&](const ExchangeResult& result) {
      ended = true;
      auto health = ParseBackendHealth(result.body);
      if (health.ok()) healths.push_back(*std::move(health));
    });
    while (!ended) context.run_one();
  }
  return healths;
}

}  // namespace

std::vector<BaselineShard> FetchShards(const Service& service, IndexVersion& version) {
  std::vector<BackendHealth> healths = FetchHealth(service);
  if (healths.size() != service.backends.size()) return {};
  version = 0;
  for (const BackendHealth& health : healths) {
    if (!health.held.empty()) version = std::max(version, health.held.back().version);
  }
  std::map<KeyRange, std::vector<std::size_t>> replicas;
  for (std::size_t i = 0; i < healths.size(); ++i) {
    for (const HeldRange& held : healths[i].held) {
      if (held.version == version) replicas[held.range].push_back(i);
    }
  }
  std::vector<BaselineShard> shards;
  shards.reserve(replicas.size());
  for (auto& [range, positions] : replicas) shards.push_back({range, std::move(positions)});
  return shards;
}

struct BaselineTarget::Query {
  std::uint64_t id = 0;
  std::string body;
  TimePoint deadline;
  std::size_t open_calls = 0;
  KeyRangeSet covered;
  Done done;
};

BaselineTarget::BaselineTarget(EventLoop& loop, const LoadOptions& options, Service service,
                               std::vector<BaselineShard> shards, IndexVersion version)
    : loop_(loop),
      options_(options),
      service_(std::move(service)),
      shards_(std::move(shards)),
      version_(version) {
  for (const BackendServer& backend : service_.backends) {
    clients_.push_back(
        std::make_unique<BackendClient>(loop.context(), backend.endpoint, kConnectionsPerBackend));
  }
}

void BaselineTarget::Send(bool /*urgent*/, TimePoint deadline, Done done) {
  auto query = std::make_shared<Query>();
  query->id = next_id_++;
  query->body = options_.query;
  query->deadline = deadline;
  query->open_calls = shards_.size();
  query->done = std::move(done);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) Call(query, shard, false);
}

void BaselineTarget::Call(const std::shared_ptr<Query>& query, std::size_t shard, bool is_retry) {
  const auto& replicas = shards_[shard].replicas;
  std::size_t backend = replicas[loop_.random().Below(replicas.size())];
  HolderCall call;
  auto batch = std::make_shared<ShardBatch>();
  batch->query_id = query->id;
  batch->request_id = "baseline";
  batch->version = version_;
  batch->body = query->body;
  call.batch = std::move(batch);
  call.call.call_id = static_cast<std::uint32_t>(shard * 2 + (is_retry ? 1 : 0));
  call.call.range = shards_[shard].range;
  call.deadline = query->deadline;
  auto request =
      MakeExchangeRequest(call, service_.backends[backend].endpoint, SteadyClock().Now());
  clients_[backend]->Start(
      std::move(request),
      [this, query, shard, is_retry, call = std::move(call)](const ExchangeResult& result) {
        std::string rows;
        ShardOutcome outcome = ClassifyExchange(call, result, rows);
        if (outcome == ShardOutcome::kRows) {
          query->covered.Add(result.range);
        } else if (!is_retry && SteadyClock().Now() < query->deadline) {
          Call(query, shard, true);
          return;
        }
        if (--query->open_calls > 0) return;
        double coverage = query->covered.Coverage();
        query->done(coverage > 0 ? 200 : 504, coverage, coverage > 0 ? "ran" : "may_have_run");
      });
}

}  // namespace damaskroute::bench
