// Measures the processor time of a node per shard call, by component. Coordinator and holders run
// on one event loop; the stand-ins run on other threads and are not counted.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/node/holder_loop.h"
#include "damaskroute/node/query_coordinator.h"
#include "damaskroute/node/shard_exchange.h"
#include "damaskroute/peer/frame_codec.h"
#include "damaskroute/scatter/partition_view.h"
#include "standins/backend_standin.h"

ABSL_FLAG(std::vector<std::string>, fan_outs, std::vector<std::string>({"2", "12", "60", "220"}),
          "Shards of the service, one run for each.");
ABSL_FLAG(int, calls, 12000, "Shard calls per measurement.");
ABSL_FLAG(int, rounds, 10, "Measurements of each part; the lowest is printed.");
ABSL_FLAG(int, queries, 4, "Queries in progress at the same time.");
ABSL_FLAG(std::string, part, "all", "all, query (coordinator, holder, HTTP), holder, http, codec.");

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Backend servers per holder at the target size (docs/design.md, 1.3).
constexpr std::size_t kCallsPerBatch = 5;
constexpr char kQuery[] = R"({"limit":1})";
constexpr char kRequestId[] = "request-0123456789";
constexpr char kServiceName[] = "service";

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

// A node and the backend servers of one service, one per shard.
class Fixture {
 public:
  explicit Fixture(int fan_out) : loop_(1), selector_("z"), node_hedge_budget_(0, 0) {
    self_ = {"127.0.0.1", 1};
    PartitionView reports;
    ConfigDocument config;
    config.zones.push_back({.name = "z", .region = "r"});
    Service service{.name = kServiceName, .customer = "c", .warm_up = {}, .backends = {}};
    std::uint64_t step = kKeySpaceSize / static_cast<std::uint64_t>(fan_out);
    for (int i = 0; i < fan_out; ++i) {
      std::uint64_t low = static_cast<std::uint64_t>(i) * step;
      KeyRange range{low, i + 1 == fan_out ? kKeySpaceSize : low + step};
      BackendServer server = StartBackend(fmt::format("s{}-r0", i), range, i);
      service.backends.push_back(server);
      reports.Apply({.holder = "n",
                     .sequence = 1,
                     .service = kServiceName,
                     .backend = server.name,
                     .boot_id = 1,
                     .state = BackendState::kWarm,
                     .share = kSlots,
                     .held = {{1, range}}});
      calls_.push_back(
          {.call_id = static_cast<std::uint32_t>(i), .backend = server.name, .range = range});
    }
    servers_ = service.backends;
    config.services.push_back(std::move(service));
    runtime_ = std::make_shared<ServiceRuntime>(kServiceName, node_hedge_budget_);
    runtime_->view.Publish(reports.MakeServiceView(kServiceName, config, loads_));
    MakeNode();
    loop_.Start();
  }

  ~Fixture() { loop_.Stop(); }

  // Runs `start` for each query, `--queries` at a time; `start` calls its argument when the query
  // ends. Returns the processor seconds of the event loop thread per shard call.
  double Measure(const std::function<void(std::function<void()>)>& start) {
    double queries = std::max(1.0, std::floor(absl::GetFlag(FLAGS_calls) / fan_out()));
    return Run(static_cast<int>(queries), start) / (queries * fan_out());
  }

  void StartQuery(const std::function<void()>& done) {
    QuerySpec spec;
    spec.query_id = next_id_++ << 8;
    spec.request_id = std::string(kRequestId);
    spec.service = ServiceName(kServiceName);
    spec.deadline = SteadyClock().Now() + seconds(10);
    spec.body = kQuery;
    coordinator_->Start(std::move(spec), runtime_, [this, done](const QueryResult& result) {
      if (result.covered.Size() != kKeySpaceSize) ++failed_;
      done();
    });
  }

  void StartHolderCalls(std::function<void()> done) {
    std::uint64_t id = next_id_++ << 8;
    pending_holder_calls_[id] = {calls_.size(), std::move(done)};
    for (std::size_t begin = 0; begin < calls_.size(); begin += kCallsPerBatch) {
      ShardBatch batch = MakeBatch(id);
      for (std::size_t i = begin; i < std::min(begin + kCallsPerBatch, calls_.size()); ++i) {
        batch.calls.push_back(calls_[i]);
      }
      Submit(std::move(batch));
    }
  }

  void StartExchanges(const std::function<void()>& done) {
    auto open = std::make_shared<std::size_t>(calls_.size());
    std::uint64_t id = next_id_++ << 8;
    auto batch = std::make_shared<const ShardBatch>(MakeBatch(id));
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      HolderCall call{self_, batch, calls_[i], nullptr, SteadyClock().Now() + seconds(10)};
      clients_[i]->Start(MakeExchangeRequest(call, servers_[i].endpoint, SteadyClock().Now()),
                         [this, open, done](const ExchangeResult& result) {
                           if (result.status != 200) ++failed_;
                           if (--*open == 0) done();
                         });
    }
  }

  // Measures encoding, authenticating and decoding the messages of a query as if all holders were
  // remote. Returns the processor seconds per shard call.
  double CodecSeconds() {
    FrameWriter writer(1, "0123456789abcdef0123456789abcdef");
    FrameReader reader(1, "0123456789abcdef0123456789abcdef");
    auto round_trip = [&](const Message& message) {
      std::string bytes;
      writer.Append(bytes, EncodeMessage(message));
      std::string_view payload;
      if (!reader.Read(std::string_view(bytes).substr(kFrameLengthSize), payload) ||
          !DecodeMessage(payload).ok()) {
        ++failed_;
      }
    };
    ShardReply reply;
    reply.query_id = 1 << 8;
    reply.outcome = ShardOutcome::kRows;
    reply.version = 1;
    reply.rows = R"({"key":1234567890,"value":"0123456789abcdef0123456789abcdef"})";
    int count = std::max(1, absl::GetFlag(FLAGS_calls) / static_cast<int>(calls_.size()));
    double start_seconds = ThreadSeconds();
    for (int query = 0; query < count; ++query) {
      for (std::size_t begin = 0; begin < calls_.size(); begin += kCallsPerBatch) {
        ShardBatch batch = MakeBatch(1);
        std::size_t end = std::min(begin + kCallsPerBatch, calls_.size());
        batch.calls.assign(calls_.begin() + static_cast<std::ptrdiff_t>(begin),
                           calls_.begin() + static_cast<std::ptrdiff_t>(end));
        round_trip(std::move(batch));
      }
      for (const ShardCall& call : calls_) {
        reply.call_id = call.call_id;
        reply.backend = call.backend;
        reply.range = call.range;
        round_trip(reply);
      }
    }
    return (ThreadSeconds() - start_seconds) / (count * fan_out());
  }

  double fan_out() const { return static_cast<double>(calls_.size()); }

  int failed() const { return failed_; }

 private:
  static constexpr int kSlots = 256;

  struct PendingHolderCalls {
    std::size_t open = 0;
    std::function<void()> done;
  };

  BackendServer StartBackend(const std::string& name, const KeyRange& range, int index) {
    standins::BackendOptions options;
    options.slots = kSlots;
    backends_.push_back(std::make_unique<standins::BackendStandin>(
        standin_loops_[index % 2], name, Endpoint{"127.0.0.1", 0}, options,
        standins::HeldVersions{{1, {range}}}));
    if (!backends_.back()->Start().ok()) ++failed_;
    BackendServer server;
    server.name = name;
    server.zone = "z";
    server.endpoint = backends_.back()->endpoint();
    server.slots = kSlots;
    server.cold_slots = kSlots;
    server.connections = kSlots;
    return server;
  }

  void MakeNode() {
    BackendChannelHooks hooks;
    hooks.reply = [this](const Endpoint&, Message message) {
      loop_.Post([this, reply = std::get<ShardReply>(std::move(message))] { OnReply(reply); });
    };
    hooks.send_to_node = [](const NodeName&, const Message&) {};
    hooks.report = [](const BackendReport&) {};
    hooks.within_limit = [](const BackendName&, std::uint64_t) {};
    holder_ = std::make_unique<HolderLoop>(loop_, std::move(hooks), 1, seconds(60));
    coordinator_ = std::make_unique<QueryCoordinator>(
        loop_, selector_,
        [this](const NodeName&, Message message) {
          if (auto* batch = std::get_if<ShardBatch>(&message)) {
            Submit(std::move(*batch));
          } else if (auto* cancel = std::get_if<CancelCalls>(&message)) {
            loop_.Post([this, cancel = std::move(*cancel)] { holder_->Cancel(self_, cancel); });
          }
        },
        [](const QuerySpec&, const BackendName&, BootId) {});
    for (const BackendServer& server : servers_) {
      Share share = ShareOfHalves(server, true, true);
      holder_->SetLimit({kServiceName, server, milliseconds(0), share, 1, true, "n"});
      clients_.push_back(std::make_unique<BackendClient>(loop_.context(), server.endpoint, kSlots));
    }
  }

  ShardBatch MakeBatch(std::uint64_t id) const {
    ShardBatch batch;
    batch.query_id = id;
    batch.request_id = std::string(kRequestId);
    batch.service = ServiceName(kServiceName);
    batch.version = 1;
    batch.time_left = seconds(10);
    batch.body = kQuery;
    return batch;
  }

  // Passes a batch to the holder as `EntryNode` does.
  void Submit(ShardBatch batch) {
    TimePoint deadline = SteadyClock().Now() + batch.time_left;
    auto shared = std::make_shared<const ShardBatch>(std::move(batch));
    loop_.Post([this, shared, deadline] {
      for (const ShardCall& call : shared->calls) {
        holder_->Submit(call.backend, HolderCall{self_, shared, call, nullptr, deadline});
      }
    });
  }

  void OnReply(const ShardReply& reply) {
    auto it = pending_holder_calls_.find(reply.query_id);
    if (it == pending_holder_calls_.end()) {
      coordinator_->OnReply(reply);
      return;
    }
    if (reply.outcome != ShardOutcome::kRows) ++failed_;
    if (--it->second.open > 0) return;
    auto done = std::move(it->second.done);
    pending_holder_calls_.erase(it);
    done();
  }

  double Run(int queries, const std::function<void(std::function<void()>)>& start) {
    std::promise<double> ended;
    int started = 0;
    int open = 0;
    double start_seconds = 0;
    std::function<void()> next = [&] {
      if (started < queries) {
        ++started;
        ++open;
        start([&] {
          --open;
          loop_.Post(next);
        });
      } else if (open == 0 && start_seconds > 0) {
        ended.set_value(ThreadSeconds() - std::exchange(start_seconds, 0));
      }
    };
    loop_.Post([&] {
      start_seconds = ThreadSeconds();
      for (int i = 0; i < absl::GetFlag(FLAGS_queries); ++i) next();
    });
    double seconds = ended.get_future().get();
    std::promise<void> idle;  // Set after all tasks that refer to this stack frame.
    loop_.Post([&] { idle.set_value(); });
    idle.get_future().wait();
    return seconds;
  }

  standins::LoopThread standin_loops_[2];
  std::vector<std::unique_ptr<standins::BackendStandin>> backends_;
  EventLoop loop_;
  Endpoint self_;
  LoadTable loads_;
  ReplicaSelector selector_;
  TokenBudget node_hedge_budget_;
  std::shared_ptr<ServiceRuntime> runtime_;
  std::vector<BackendServer> servers_;
  std::vector<ShardCall> calls_;
  std::unique_ptr<QueryCoordinator> coordinator_;
  std::unique_ptr<HolderLoop> holder_;
  std::vector<std::unique_ptr<BackendClient>> clients_;
  std::unordered_map<std::uint64_t, PendingHolderCalls> pending_holder_calls_;
  std::uint64_t next_id_ = 1;
  int failed_ = 0;
};

int MeasureFanOut(int fan_out) {
  Fixture fixture(fan_out);
  std::string part = absl::GetFlag(FLAGS_part);
  double query = 1;
  double holder = 1;
  double http = 1;
  double codec = 1;
  // The components are measured in turn, so that a busy phase of the machine does not affect only
  // one of them. The first round opens connections and fills caches and is not counted.
  for (int round = 0; round <= absl::GetFlag(FLAGS_rounds); ++round) {
    auto measure = [&](const char* name, double& best, auto run) {
      if (part != "all" && part != name) return;
      double seconds = run();
      if (round > 0) best = std::min(best, seconds);
    };
    measure("query", query, [&] {
      return fixture.Measure([&](const std::function<void()>& done) { fixture.StartQuery(done); });
    });
    measure("holder", holder, [&] {
      return fixture.Measure(
          [&](std::function<void()> done) { fixture.StartHolderCalls(std::move(done)); });
    });
    measure("http", http, [&] {
      return fixture.Measure(
          [&](const std::function<void()>& done) { fixture.StartExchanges(done); });
    });
    measure("codec", codec, [&] { return fixture.CodecSeconds(); });
  }
  if (part == "all") {
    fmt::print(
        "fan-out {:4}: {:6.2f} us per shard call: coordinator {:5.2f}, holder {:5.2f}, HTTP "
        "{:5.2f}; peer codec, both directions and both ends {:5.2f}; failed {}\n",
        fan_out, query * 1e6, (query - holder) * 1e6, (holder - http) * 1e6, http * 1e6,
        codec * 1e6, fixture.failed());
  } else {
    fmt::print("fan-out {:4}: {} {:6.2f} us per shard call; failed {}\n", fan_out, part,
               std::min({query, holder, http, codec}) * 1e6, fixture.failed());
  }
  return fixture.failed();
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  double load[1] = {0};
  if (getloadavg(load, 1) == 1) fmt::print("load average {:.1f}\n", load[0]);
  int failed = 0;
  for (const std::string& fan_out : absl::GetFlag(FLAGS_fan_outs)) {
    failed += damaskroute::MeasureFanOut(std::max(1, std::atoi(fan_out.c_str())));
  }
  return failed > 0 ? 1 : 0;
}
