// Measures the processor time of the scatter decisions per shard call, and runs a discrete-event
// simulation that compares the hedging policy with the baseline.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/scatter/partition_view.h"
#include "damaskroute/scatter/scatter_gather.h"

ABSL_FLAG(int, queries, 20000, "Queries per experiment run.");
ABSL_FLAG(int, seed, 1, "Seed of arrivals and service times.");
ABSL_FLAG(int, fan_out, 220, "Shards of the service in the experiment.");
ABSL_FLAG(int, replicas, 3, "Replicas of each shard in the experiment.");
ABSL_FLAG(int, slots, 4, "Slots of each backend server in the experiment.");
ABSL_FLAG(int, coordinators, 4, "Nodes that coordinate queries independently.");
ABSL_FLAG(double, load, 0.4, "Fraction of the slots in use without stragglers and hedged calls.");
ABSL_FLAG(std::string, service_time, "lognormal", "lognormal or exponential.");
ABSL_FLAG(double, quantile, 0, "Hedge quantile; 0 for the default.");
ABSL_FLAG(int, burst, 0, "Hedged calls of a service that may be sent at once; 0 for the default.");
ABSL_FLAG(double, copy_late_medians, 0,
          "A hedged call is late after this many medians; 0 for the default.");
ABSL_FLAG(double, max_late_ratio, 0,
          "No hedged calls above this ratio of late calls; 0 for the default.");
ABSL_FLAG(bool, cost, true, "Measure the processor time.");
ABSL_FLAG(bool, experiment, true, "Run the experiment.");

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Makes `shards` equal shards with `replicas` replicas each; every holder has five backend servers.
std::shared_ptr<const ServiceView> MakeView(int shards, int replicas, int slots, LoadTable& loads) {
  PartitionView reports;
  ConfigDocument config;
  Service service{.name = "s", .customer = "c", .warm_up = {}, .backends = {}};
  std::uint64_t step = kKeySpaceSize / static_cast<std::uint64_t>(shards);
  for (int r = 0; r < replicas; ++r) {
    config.zones.push_back({.name = fmt::format("z{}", r), .region = "r"});
    for (int s = 0; s < shards; ++s) {
      std::uint64_t low = s * step;
      BackendName name = fmt::format("{}", r * shards + s);
      service.backends.push_back({.name = name, .zone = fmt::format("z{}", r), .endpoint = {}});
      reports.Apply({.holder = fmt::format("h{}", (r * shards + s) / 5),
                     .sequence = 1,
                     .service = "s",
                     .backend = name,
                     .boot_id = 1,
                     .state = BackendState::kWarm,
                     .share = static_cast<std::uint32_t>(slots),
                     .held = {{1, {low, s + 1 == shards ? kKeySpaceSize : low + step}}}});
    }
  }
  config.services.push_back(service);
  return std::make_shared<const ServiceView>(reports.MakeServiceView("s", config, loads));
}

QuerySpec MakeSpec(std::uint64_t id, TimePoint deadline) {
  return {.query_id = id,
          .request_id = "r",
          .service = "s",
          .priority = Priority::kNormal,
          .deadline = deadline,
          .fingerprint = id,
          .body = "{}"};
}

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

ShardReply ReplyTo(std::uint64_t query_id, const ShardCall& call) {
  return {.query_id = query_id,
          .call_id = call.call_id,
          .attempt = call.attempt,
          .backend = call.backend,
          .outcome = ShardOutcome::kRows,
          .version = 1,
          .range = call.range,
          .rows = {}};
}

// Measures the processor time of `Start` and `OnReply` without hedged calls. Replies are made
// outside of the measurement and arrive in random order.
void MeasureCost(int fan_out) {
  constexpr int kBatch = 32;
  LoadTable loads;
  auto view = MakeView(fan_out, 3, 4, loads);
  TokenBudget node(0.05, 100);
  HedgePolicy hedge({}, node);
  TokenBudget retries(kRetryRatio, kRetryBurst);
  ReplicaSelector selector("z0");
  Random random(1);
  ManualClock clock;
  int batches = std::max(20, 400'000 / (fan_out * kBatch));
  double start_seconds = 0;
  double reply_seconds = 0;
  std::uint64_t calls = 0;
  for (int batch = 0; batch < batches; ++batch) {
    clock.Advance(milliseconds(5));
    std::vector<std::unique_ptr<ScatterGather>> queries(kBatch);
    std::vector<std::vector<ScatterAction>> actions(kBatch);
    double start = ThreadSeconds();
    for (int i = 0; i < kBatch; ++i) {
      queries[i] =
          std::make_unique<ScatterGather>(MakeSpec(i, clock.Now() + milliseconds(1000)), view,
                                          ScatterPolicies{selector, hedge, retries, random});
      actions[i] = queries[i]->Start(clock.Now());
    }
    start_seconds += ThreadSeconds() - start;
    clock.Advance(milliseconds(1));
    std::vector<ShardReply> replies;
    for (int i = 0; i < kBatch; ++i) {
      for (const ScatterAction& action : actions[i]) {
        const auto* send = std::get_if<SendCalls>(&action);
        if (send == nullptr) continue;
        for (const ShardCall& call : send->calls) replies.push_back(ReplyTo(i, call));
      }
    }
    for (std::size_t i = replies.size(); i > 1; --i) {
      std::swap(replies[i - 1], replies[random.Below(i)]);
    }
    calls += replies.size();
    start = ThreadSeconds();
    for (const ShardReply& reply : replies) queries[reply.query_id]->OnReply(reply, clock.Now());
    queries.clear();
    reply_seconds += ThreadSeconds() - start;
  }
  double per_call = 1e9 / static_cast<double>(calls);
  fmt::print(
      "fan-out {:4}: {:5.0f} ns per shard call (send {:4.0f}, reply {:4.0f}); at 34,700 "
      "calls/s {:.2f}% of a core\n",
      fan_out, (start_seconds + reply_seconds) * per_call, start_seconds * per_call,
      reply_seconds * per_call,
      (start_seconds + reply_seconds) / static_cast<double>(calls) * 34'700 * 100);
}

struct ExperimentSettings {
  bool policy = true;  // False: random live replica, one immediate retry, no hedging.
  bool stragglers = true;
  bool slow_zone = false;  // One zone is three times slower in the second half of the run.
  HedgeSettings hedge;
};

struct Outcome {
  std::vector<double> latency_ms;
  std::uint64_t first_calls = 0;
  std::uint64_t extra_calls = 0;
  double coverage = 0;
  double busy = 0;  // Fraction of the slots in use.

  double Quantile(double q) {
    auto nth = latency_ms.begin() +
               static_cast<std::ptrdiff_t>(q * static_cast<double>(latency_ms.size() - 1));
    std::nth_element(latency_ms.begin(), nth, latency_ms.end());
    return *nth;
  }
};

// Simulates open-loop arrivals at coordinators. Each backend server has a queue and a number of
// slots; messages take half a millisecond one way. A cancelled call leaves the queue or its slot
// when the cancellation arrives.
class Experiment {
 public:
  explicit Experiment(const ExperimentSettings& settings)
      : settings_(settings),
        fan_out_(absl::GetFlag(FLAGS_fan_out)),
        replicas_(absl::GetFlag(FLAGS_replicas)),
        slots_(absl::GetFlag(FLAGS_slots)),
        random_(absl::GetFlag(FLAGS_seed)),
        policy_random_(absl::GetFlag(FLAGS_seed) + 1000) {
    backends_.resize(static_cast<std::size_t>(fan_out_) * static_cast<std::size_t>(replicas_));
    for (int i = 0; i < absl::GetFlag(FLAGS_coordinators); ++i) {
      nodes_.push_back(std::make_unique<Node>(settings_.hedge, i));
      nodes_.back()->view = MakeView(fan_out_, replicas_, slots_, nodes_.back()->loads);
    }
  }

  Outcome Run() {
    auto queries = static_cast<std::size_t>(absl::GetFlag(FLAGS_queries));
    double per_second = absl::GetFlag(FLAGS_load) * replicas_ * slots_ / kMeanSeconds;
    warm_up_ = queries / 10;
    queries_.resize(queries);
    TimePoint start = clock_.Now();
    TimePoint arrival = start;
    for (std::size_t i = 0; i < queries; ++i) {
      arrival += Seconds(-std::log(1 - random_.NextDouble()) / per_second);
      RunUntil(arrival);
      slow_phase_ = i >= queries / 2;
      StartQuery(i);
    }
    double seconds = std::chrono::duration<double>(clock_.Now() - start).count();
    outcome_.busy = busy_seconds_ / (seconds * slots_ * static_cast<double>(backends_.size()));
    RunUntil(TimePoint::max());
    outcome_.coverage /= static_cast<double>(outcome_.latency_ms.size());
    return std::move(outcome_);
  }

 private:
  static constexpr double kMeanSeconds = 0.005;
  static constexpr Duration kOneWayDelay = microseconds(500);

  enum class CallState : std::uint8_t { kQueued, kRunning, kEnded };
  struct Call {
    ShardCall call;
    std::uint32_t backend = 0;
    CallState state = CallState::kQueued;
    TimePoint started;
  };
  struct Query {
    TimePoint start;
    std::unique_ptr<ScatterGather> scatter;
    std::vector<Call> calls;
    std::uint32_t open = 0;
    std::uint32_t events = 0;
    bool finished = false;
  };
  struct Node {
    Node(const HedgeSettings& settings, int index)
        : selector(fmt::format("z{}", index % 3)), hedge(settings, hedges) {}
    LoadTable loads;
    std::shared_ptr<const ServiceView> view;
    ReplicaSelector selector;
    TokenBudget hedges{kNodeHedgeRatio, kNodeHedgeBurst};
    HedgePolicy hedge;
    TokenBudget retries{kRetryRatio, kRetryBurst};
  };
  struct Backend {
    std::deque<std::pair<std::uint32_t, std::uint32_t>> queue;  // Indexes of query and call.
    int running = 0;
  };
  enum class EventKind : std::uint8_t { kArrive, kServed, kReply, kCancel, kTimer };
  struct Event {
    TimePoint at;
    EventKind kind;
    std::uint32_t query;
    std::uint32_t call;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  static Duration Seconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  Duration ServiceTime(std::uint32_t backend) {
    double seconds = 0;
    if (absl::GetFlag(FLAGS_service_time) == "exponential") {
      seconds = -std::log(1 - random_.NextDouble()) * kMeanSeconds;
    } else {
      constexpr double kSigma = 0.4;
      double normal = std::sqrt(-2 * std::log(1 - random_.NextDouble())) *
                      std::cos(2 * 3.14159265358979 * random_.NextDouble());
      seconds = kMeanSeconds * std::exp(kSigma * normal - kSigma * kSigma / 2);
    }
    if (settings_.slow_zone && slow_phase_ && backend < static_cast<std::uint32_t>(fan_out_)) {
      seconds *= 3;
    }
    bool is_straggler = random_.NextDouble() < 0.01;
    return Seconds(is_straggler && settings_.stragglers ? seconds * 10 : seconds);
  }

  void Schedule(Duration after, EventKind kind, std::uint32_t query, std::uint32_t call) {
    ++queries_[query].events;
    events_.push({clock_.Now() + after, kind, query, call});
  }

  void RunUntil(TimePoint until) {
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      Handle(event);
      Query& query = queries_[event.query];
      --query.events;
      if (query.finished && query.events == 0) {
        query.scatter.reset();
        std::vector<Call>().swap(query.calls);
      }
    }
    if (until != TimePoint::max()) clock_.Advance(until - clock_.Now());
  }

  void Handle(const Event& event) {
    Query& query = queries_[event.query];
    if (event.kind == EventKind::kTimer) {
      if (!query.finished) Execute(event.query, query.scatter->OnTimer(clock_.Now()));
      return;
    }
    Call& call = query.calls[event.call];
    Backend& backend = backends_[call.backend];
    switch (event.kind) {
      case EventKind::kArrive:
        if (call.state == CallState::kEnded) break;
        backend.queue.push_back({event.query, event.call});
        StartNext(backend);
        break;
      case EventKind::kServed:
        if (call.state == CallState::kEnded) break;
        Schedule(kOneWayDelay, EventKind::kReply, event.query, event.call);
        EndCall(call, backend);
        break;
      case EventKind::kCancel:
        if (call.state == CallState::kEnded) break;
        EndCall(call, backend);
        break;
      case EventKind::kReply:
        OnReply(event.query, event.call);
        break;
      case EventKind::kTimer:
        break;
    }
  }

  void EndCall(Call& call, Backend& backend) {
    if (call.state == CallState::kRunning) {
      --backend.running;
      busy_seconds_ += std::chrono::duration<double>(clock_.Now() - call.started).count();
    }
    call.state = CallState::kEnded;
    StartNext(backend);
  }

  void StartNext(Backend& backend) {
    while (backend.running < slots_ && !backend.queue.empty()) {
      auto [query, index] = backend.queue.front();
      backend.queue.pop_front();
      if (queries_[query].calls.empty()) continue;  // The query has finished and was freed.
      Call& call = queries_[query].calls[index];
      if (call.state != CallState::kQueued) continue;
      call.state = CallState::kRunning;
      call.started = clock_.Now();
      ++backend.running;
      Schedule(ServiceTime(call.backend), EventKind::kServed, query, index);
    }
  }

  void StartQuery(std::size_t index) {
    auto id = static_cast<std::uint32_t>(index);
    Query& query = queries_[id];
    query.start = clock_.Now();
    if (settings_.policy) {
      Node& node = *nodes_[id % nodes_.size()];
      query.scatter = std::make_unique<ScatterGather>(
          MakeSpec(id, clock_.Now() + milliseconds(1000)), node.view,
          ScatterPolicies{node.selector, node.hedge, node.retries, policy_random_});
      Execute(id, query.scatter->Start(clock_.Now()));
      return;
    }
    query.open = static_cast<std::uint32_t>(fan_out_);
    for (int shard = 0; shard < fan_out_; ++shard) {
      auto replica = policy_random_.Below(static_cast<std::uint64_t>(replicas_));
      query.calls.push_back({.call = {},
                             .backend = static_cast<std::uint32_t>(replica * fan_out_ + shard),
                             .state = CallState::kQueued,
                             .started = {}});
      Schedule(kOneWayDelay, EventKind::kArrive, id, static_cast<std::uint32_t>(shard));
    }
  }

  void OnReply(std::uint32_t id, std::uint32_t call_id) {
    Query& query = queries_[id];
    if (query.finished) return;
    if (settings_.policy) {
      Execute(id, query.scatter->OnReply(ReplyTo(id, query.calls[call_id].call), clock_.Now()));
    } else if (--query.open == 0) {
      QueryResult result;
      result.covered.Add(kWholeKeySpace);
      result.first_calls = static_cast<std::uint32_t>(fan_out_);
      FinishQuery(id, result);
    }
  }

  void Execute(std::uint32_t id, const std::vector<ScatterAction>& actions) {
    Query& query = queries_[id];
    for (const ScatterAction& action : actions) {
      if (const auto* send = std::get_if<SendCalls>(&action)) {
        for (const ShardCall& call : send->calls) {
          if (call.call_id >= query.calls.size()) query.calls.resize(call.call_id + 1);
          query.calls[call.call_id] = {
              .call = call,
              .backend = static_cast<std::uint32_t>(std::stoul(call.backend)),
              .state = CallState::kQueued,
              .started = {}};
          Schedule(kOneWayDelay, EventKind::kArrive, id, call.call_id);
        }
      } else if (const auto* cancel = std::get_if<CancelSentCalls>(&action)) {
        for (std::uint32_t call : cancel->call_ids) {
          Schedule(kOneWayDelay, EventKind::kCancel, id, call);
        }
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        Schedule(timer->at - clock_.Now(), EventKind::kTimer, id, 0);
      } else if (const auto* finish = std::get_if<Finish>(&action)) {
        FinishQuery(id, finish->result);
      }
    }
  }

  void FinishQuery(std::uint32_t id, const QueryResult& result) {
    Query& query = queries_[id];
    query.finished = true;
    if (id < warm_up_) return;
    outcome_.latency_ms.push_back(
        std::chrono::duration<double, std::milli>(clock_.Now() - query.start).count());
    outcome_.first_calls += result.first_calls;
    outcome_.extra_calls += result.hedges + result.retries;
    outcome_.coverage += result.covered.Coverage();
  }

  const ExperimentSettings settings_;
  const int fan_out_;
  const int replicas_;
  const int slots_;
  ManualClock clock_;
  Random random_;
  Random policy_random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Backend> backends_;
  std::vector<Query> queries_;
  std::priority_queue<Event> events_;
  std::size_t warm_up_ = 0;
  bool slow_phase_ = false;
  double busy_seconds_ = 0;
  Outcome outcome_;
};

double Report(const char* name, const ExperimentSettings& settings, double reference) {
  Outcome outcome = Experiment(settings).Run();
  double p99 = outcome.Quantile(0.99);
  fmt::print(
      "{:28} p50 {:6.1f}  p99 {:6.1f}  p99.9 {:6.1f} ms  extra {:5.2f}%  coverage {:.4f}  "
      "slots in use {:4.1f}%",
      name, outcome.Quantile(0.5), p99, outcome.Quantile(0.999),
      100.0 * static_cast<double>(outcome.extra_calls) / static_cast<double>(outcome.first_calls),
      outcome.coverage, 100 * outcome.busy);
  if (reference > 0) fmt::print("  p99 ratio {:.2f}", p99 / reference);
  fmt::print("\n");
  return p99;
}

void RunExperiment() {
  HedgeSettings hedge;
  if (double quantile = absl::GetFlag(FLAGS_quantile); quantile > 0) hedge.quantile = quantile;
  if (int burst = absl::GetFlag(FLAGS_burst); burst > 0) {
    hedge.hedge_burst = static_cast<std::uint32_t>(burst);
  }
  if (double ratio = absl::GetFlag(FLAGS_max_late_ratio); ratio > 0) hedge.max_late_ratio = ratio;
  if (double medians = absl::GetFlag(FLAGS_copy_late_medians); medians > 0) {
    hedge.hedge_late_medians = medians;
  }
  fmt::print(
      "experiment: fan-out {}, {} replicas with {} slots, {} service time of 5 ms mean, "
      "load {:.2f}, {} coordinators, {} queries, seed {}, late after p{:g}, burst {}\n",
      absl::GetFlag(FLAGS_fan_out), absl::GetFlag(FLAGS_replicas), absl::GetFlag(FLAGS_slots),
      absl::GetFlag(FLAGS_service_time), absl::GetFlag(FLAGS_load),
      absl::GetFlag(FLAGS_coordinators), absl::GetFlag(FLAGS_queries), absl::GetFlag(FLAGS_seed),
      hedge.quantile * 100, hedge.hedge_burst);
  double baseline = Report("baseline, no stragglers", {false, false, false, hedge}, 0);
  Report("baseline, 1% 10x slow", {false, true, false, hedge}, baseline);
  double policy = Report("policy, no stragglers", {true, false, false, hedge}, 0);
  Report("policy, 1% 10x slow", {true, true, false, hedge}, policy);
  Report("baseline, one zone 3x slow", {false, false, true, hedge}, baseline);
  Report("policy, one zone 3x slow", {true, false, true, hedge}, policy);
  hedge.max_late_ratio = 1;
  Report("policy without the 20% rule", {true, false, true, hedge}, policy);
  fmt::print(
      "target with 1% 10x slow (docs/design.md, 1.2): p99 ratio at most 1.50, extra at most 5.00%, "
      "coverage "
      "1.0000\n");
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_cost)) {
    for (int fan_out : {2, 25, 100, 220}) damaskroute::MeasureCost(fan_out);
  }
  if (absl::GetFlag(FLAGS_experiment)) damaskroute::RunExperiment();
  return 0;
}
