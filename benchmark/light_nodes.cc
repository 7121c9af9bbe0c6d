// Measures configuration dissemination between many nodes: the time from the acceptance of a change
// until it is installed on all nodes, without faults, with message loss and with a store outage,
// and the cost of the control plane per node. Each node has the membership, the replicas and the
// peer transport of an entry node on loopback sockets; it serves no queries. The readers watch an
// in-memory store.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "benchmark/support/linear_fit.h"
#include "benchmark/support/process_usage.h"
#include "benchmark/support/target_config.h"
#include "damaskroute/config/config_codec.h"
#include "damaskroute/dissemination/config_reader.h"
#include "damaskroute/intent/config_log.h"
#include "damaskroute/node/replication.h"
#include "damaskroute/node/store_agent.h"
#include "damaskroute/peer/peer_transport.h"
#include "damaskroute/store/memory_store.h"
#include "fmt/format.h"

ABSL_FLAG(std::vector<std::string>, nodes,
          (std::vector<std::string>{"4", "16", "64", "128", "256"}),
          "numbers of nodes, each 4 to 256");
ABSL_FLAG(int, changes, 24, "changes measured per case, 1 to 200");
ABSL_FLAG(int, seconds, 15, "time of the cost measurement, 5 to 300");
ABSL_FLAG(double, loss, 0.1, "fraction of datagrams lost in the case with loss, 0 to 0.5");
ABSL_FLAG(double, cuts, 0.1,
          "fraction of a node's peers that it loses the connections to, twice a second, 0 to 0.5");
ABSL_FLAG(int, backends, 440, "backend servers of the configuration, 1 to 36000");
ABSL_FLAG(int, loops, 4, "event loops, which the nodes share, 1 to 16");
ABSL_FLAG(std::string, format, "table", "table or json");

namespace damaskroute {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargetNodes = 7600;
constexpr double kChangesPerSecond = 0.35;
constexpr std::uint64_t kSeed = 11;

// Time limit for installing a change on all nodes. A slower change is recorded with this time.
constexpr seconds kChangeTimeout{30};

// Targets of docs/design.md.
constexpr double kTargetChangeSeconds = 5;
constexpr double kTargetCorePercent = 1.1;
constexpr double kTargetBytesPerSecond = 7000;

// Bytes of IP and UDP headers, and of IP and TCP headers with timestamps; a TCP write costs its own
// headers and those of one acknowledgement. Opening and closing a connection takes seven packets.
constexpr double kUdpHeaders = 28;
constexpr double kTcpHeaders = 2 * 52;
constexpr double kConnectBytes = 7 * 60;

const PeerKeys& Keys() {
  static const PeerKeys* const keys = new PeerKeys{{1, "secret of the benchmark"}, {}};
  return *keys;
}

// Records when all nodes have installed the awaited revision.
class InstallLog {
 public:
  explicit InstallLog(std::size_t nodes) : installed_(nodes) {}

  void SetAwaited(Revision revision) {
    std::lock_guard lock(mutex_);
    awaited_ = revision;
    CountMissing();
  }

  void OnInstalled(std::size_t node, Revision revision) {
    std::lock_guard lock(mutex_);
    if (revision <= installed_[node]) ++reversions_;
    installed_[node] = revision;
    CountMissing();
  }

  // Returns false if some nodes still lack the revision after `kChangeTimeout`.
  bool Wait(TimePoint& complete_at) {
    std::unique_lock lock(mutex_);
    bool done = changed_.wait_for(lock, kChangeTimeout, [this] { return missing_ == 0; });
    complete_at = complete_at_;
    return done;
  }

  std::size_t reversions() {
    std::lock_guard lock(mutex_);
    return reversions_;
  }

 private:
  void CountMissing() {
    missing_ = static_cast<std::size_t>(
        std::count_if(installed_.begin(), installed_.end(),
                      [this](Revision revision) { return revision < awaited_; }));
    if (missing_ > 0) return;
    complete_at_ = SteadyClock().Now();
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Revision> installed_;
  Revision awaited_ = 0;
  std::size_t missing_ = 0;
  std::size_t reversions_ = 0;
  TimePoint complete_at_;
};

// VM list that is never available; the removal of roster entries is not measured.
struct NoVmList {
  absl::StatusOr<VmList> Read() { return absl::UnavailableError("no VM list"); }
};

// Store of one agent; all agents share the same MemoryStore.
class StoreHandle {
 public:
  explicit StoreHandle(MemoryStore& store) : store_(&store) {}
  absl::StatusOr<StoredValue> Get(const std::string& key) { return store_->Get(key); }
  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key, std::uint64_t version,
                                               const std::string& value) {
    return store_->CompareAndSwap(key, version, value);
  }
  absl::StatusOr<StoredValue> Watch(const std::string& key, std::uint64_t after,
                                    milliseconds timeout) {
    return store_->Watch(key, after, timeout);
  }

 private:
  MemoryStore* store_;
};

// Store of the committing node. Records when the head was swapped, which is when the change is
// accepted. With `outage`, the store goes down at that moment.
class CommittingStore {
 public:
  CommittingStore(MemoryStore& store, bool outage) : store_(&store), outage_(outage) {}
  absl::StatusOr<StoredValue> Get(const std::string& key) { return store_->Get(key); }
  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key, std::uint64_t version,
                                               const std::string& value) {
    // Read before the swap: on a busy machine the nodes can finish before this thread resumes.
    TimePoint before = SteadyClock().Now();
    auto swapped = store_->CompareAndSwap(key, version, value);
    if (key == kConfigHeadKey && swapped.ok()) {
      accepted_ = before;
      if (outage_) store_->SetFaults({.down = true});
    }
    return swapped;
  }
  TimePoint accepted() const { return accepted_; }

 private:
  MemoryStore* store_;
  bool outage_;
  TimePoint accepted_;
};

// Entry node with membership, replicas and peer transport only.
class LightNode {
 public:
  LightNode(EventLoop& loop, std::size_t index, InstallLog& log, const std::atomic<double>& loss)
      : loop_(loop) {
    NodeName name = fmt::format("entry-node-{:05}", index);
    ZoneName zone = fmt::format("zone-{}", index % bench::kTargetZones);
    PeerHandlers handlers;
    handlers.on_message = [this](const PeerContext& from, const Message& message) {
      replication_->OnMessage(from.endpoint, message);
    };
    handlers.on_peer_lost = [this](const Endpoint& peer) { replication_->OnPeerLost(peer); };
    transport_ = std::make_unique<PeerTransport>(
        loop.context(), PeerIdentity{name, 1, {"127.0.0.1", 0}}, Keys(), handlers);
    if (!transport_->Listen().ok()) return;
    entry_ = {name, zone, transport_->endpoint(), 1, false};
    ReplicationHooks hooks;
    hooks.send = [this](const Endpoint& to, const Message& message) {
      transport_->Send(to, message);
    };
    hooks.install_config = [index, &log](const ConfigDocument& config) {
      log.OnInstalled(index, config.revision);
    };
    hooks.install_roster = [](const Roster&) {};
    hooks.member_changed = [this](const Member& member) {
      if (!member.IsLive()) transport_->Disconnect(member.endpoint);
    };
    hooks.superseded = [] {};
    hooks.drop_datagram = [&loop, &loss] { return loop.random().NextDouble() < loss.load(); };
    Member self{name, zone, entry_.peer, 1, 0, MemberState::kAlive};
    replication_ = std::make_unique<Replication>(loop, self, Keys(), std::move(hooks));
    open_ = replication_->Open().ok();
  }

  bool open() const { return open_; }
  const RosterEntry& entry() const { return entry_; }
  EventLoop& loop() { return loop_; }
  Replication& replication() { return *replication_; }
  PeerTransport& transport() { return *transport_; }

  void WatchStore(MemoryStore& store) {
    StoreAgentHooks hooks;
    hooks.is_reader = [this] { return replication_->is_reader(); };
    hooks.on_config = [this](Revision revision, std::string document) {
      PostConfig(revision, std::move(document));
    };
    hooks.on_roster = [this](Revision revision, std::string document) {
      loop_.Post([this, revision, document = std::move(document)]() mutable {
        replication_->OnStoreRoster(revision, std::move(document));
      });
    };
    hooks.on_store_contact = [this] { loop_.Post([this] { replication_->OnStoreContact(); }); };
    hooks.on_local_entry_added = [](bool) {};
    hooks.live_members = [] { return std::vector<RosterEntry>(); };
    hooks.roster = [] { return std::make_shared<const Roster>(); };
    RosterUpdaterOptions options;
    options.self = entry_;
    agent_ = std::make_unique<StoreAgent<StoreHandle, NoVmList>>(StoreHandle(store), NoVmList{},
                                                                 options, std::move(hooks));
    agent_->Start();
  }

  void StopWatching() {
    if (agent_) agent_->Stop();
  }

  void PostConfig(Revision revision, std::string document) {
    loop_.Post([this, revision, document = std::move(document)]() mutable {
      replication_->OnStoreConfig(revision, std::move(document));
    });
  }

 private:
  EventLoop& loop_;
  RosterEntry entry_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<Replication> replication_;
  std::unique_ptr<StoreAgent<StoreHandle, NoVmList>> agent_;
  bool open_ = false;
};

// Returns the bytes that all nodes have sent, headers included.
double BytesSent(const std::vector<std::unique_ptr<LightNode>>& nodes) {
  double bytes = 0;
  for (const auto& node : nodes) {
    const MembershipCounters& udp = node->replication().membership_counters();
    const PeerCounters& tcp = node->transport().counters();
    bytes += static_cast<double>(udp.bytes_sent) +
             kUdpHeaders * static_cast<double>(udp.datagrams_sent) +
             static_cast<double>(tcp.bytes_sent) + kTcpHeaders * static_cast<double>(tcp.writes) +
             kConnectBytes * static_cast<double>(tcp.connects);
  }
  return bytes;
}

struct ChangeTimes {
  std::vector<double> values;  // Seconds, sorted.
  std::size_t incomplete = 0;

  double Median() const { return values[values.size() / 2]; }
  double Max() const { return values.back(); }
};

struct Row {
  std::size_t nodes = 0;
  double join = 0;  // Seconds.
  ChangeTimes plain;
  ChangeTimes loss;
  ChangeTimes outage;
  std::size_t reversions = 0;
  double bytes = 0;      // Per node and second, sent and received.
  double processor = 0;  // Percent of a core per node.
  double memory = 0;     // MB per node.
  double reads = 0;      // Store calls per second.
  double writes = 0;
  double watches = 0;
  double load_average = 0;  // Load average of the machine after the measurement.
};

class Fleet {
 public:
  explicit Fleet(std::size_t size) : log_(size), random_(kSeed) {
    config_ = bench::MakeTargetConfig(absl::GetFlag(FLAGS_backends), 440);
    config_.revision = 0;
    for (int i = 0; i < absl::GetFlag(FLAGS_loops); ++i) {
      loops_.push_back(std::make_unique<EventLoop>(kSeed + static_cast<std::uint64_t>(i)));
    }
    for (std::size_t i = 0; i < size; ++i) nodes_.push_back(MakeNode(i));
  }

  ~Fleet() {
    store_.SetFaults({.down = true});  // Ends pending watches.
    for (auto& node : nodes_) node->StopWatching();
    for (auto& loop : loops_) loop->Stop();
    nodes_.clear();
  }

  Row Measure() {
    Row row;
    row.nodes = nodes_.size();
    double memory = bench::ResidentMegabytes();
    row.join = Start();
    MeasureCost(row);
    row.memory = (bench::ResidentMegabytes() - memory) / static_cast<double>(row.nodes);
    row.plain = MeasureChanges(absl::GetFlag(FLAGS_changes), false);
    loss_ = absl::GetFlag(FLAGS_loss);
    std::atomic<bool> disconnecting{true};
    std::thread disconnector([&] { DisconnectPeers(disconnecting); });
    row.loss = MeasureChanges(absl::GetFlag(FLAGS_changes), false);
    disconnecting = false;
    disconnector.join();
    loss_ = 0;
    std::this_thread::sleep_for(seconds(3));
    row.outage = MeasureChanges(absl::GetFlag(FLAGS_changes), true);
    row.reversions = log_.reversions();
    row.load_average = bench::LoadAverage();
    return row;
  }

 private:
  std::unique_ptr<LightNode> MakeNode(std::size_t index) {
    // The UDP port with the same number as the TCP port may be in use; then another pair is tried.
    for (int attempt = 0; attempt < 20; ++attempt) {
      auto node = std::make_unique<LightNode>(*loops_[index % loops_.size()], index, log_, loss_);
      if (node->open()) return node;
    }
    fmt::print(stderr, "cannot open sockets for node {}\n", index);
    std::exit(1);
  }

  // Starts all nodes at once with the first node as their seed. Returns the time in seconds until
  // all know each other and have the first revision.
  double Start() {
    log_.SetAwaited(1);
    Commit(false);
    TimePoint start = SteadyClock().Now();
    for (auto& node : nodes_) {
      node->loop().Post(
          [&node, seed = nodes_[0]->entry().peer] { node->replication().Start({seed}); });
    }
    for (auto& loop : loops_) loop->Start();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (IsReader(i)) nodes_[i]->WatchStore(store_);
    }
    TimePoint complete;
    log_.Wait(complete);
    while (!AllMembersKnown() && SteadyClock().Now() - start < 2 * kChangeTimeout) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    return duration<double>(SteadyClock().Now() - start).count();
  }

  bool IsReader(std::size_t index) const {
    std::vector<Member> members;
    for (const auto& node : nodes_) {
      members.push_back(
          {node->entry().node, node->entry().zone, node->entry().peer, 1, 0, MemberState::kAlive});
    }
    return IsConfigReader(members[index], members);
  }

  bool AllMembersKnown() {
    std::atomic<std::size_t> left{nodes_.size()};
    std::atomic<std::size_t> complete{0};
    for (auto& node : nodes_) {
      node->loop().Post([&, this] {
        complete += node->replication().members().LiveCount() >= nodes_.size();
        --left;
      });
    }
    while (left > 0) std::this_thread::sleep_for(milliseconds(1));
    return complete == nodes_.size();
  }

  // Commits the next revision through a random node, as its operators' interface does. Returns the
  // time at which it was accepted.
  TimePoint Commit(bool outage) {
    Revision revision = ++config_.revision;
    config_.change_id = fmt::format("change-{}", revision);
    BackendServer& backend =
        config_.services[0].backends[random_.Below(config_.services[0].backends.size())];
    backend.connections = 30 + static_cast<int>(revision % 7);
    auto bytes = EncodeConfig(config_);
    CommitRequest request{revision - 1, config_.change_id, "benchmark", {}, SplitChunks(*bytes)};
    CommittingStore store(store_, outage);
    CommitOutcome outcome = RunCommit(store, CommitResolver(std::move(request)),
                                      [](int) { std::this_thread::sleep_for(milliseconds(10)); });
    if (outcome.result != CommitResult::kCommitted) {
      fmt::print(stderr, "revision {} was not committed: {}\n", revision, outcome.detail);
      std::exit(1);
    }
    nodes_[random_.Below(nodes_.size())]->PostConfig(revision, *std::move(bytes));
    return store.accepted();
  }

  ChangeTimes MeasureChanges(int count, bool outage) {
    ChangeTimes times;
    for (int i = 0; i < count; ++i) {
      log_.SetAwaited(config_.revision + 1);
      TimePoint accepted = Commit(outage);
      TimePoint complete;
      bool done = log_.Wait(complete);
      if (!done) ++times.incomplete;
      times.values.push_back(duration<double>(done ? complete - accepted : kChangeTimeout).count());
      if (outage) {
        store_.SetFaults({});
        // Waits until the agents, which pause after an error, watch the store again.
        std::this_thread::sleep_for(milliseconds(600));
      }
      std::this_thread::sleep_for(milliseconds(50 + random_.Below(200)));
    }
    std::sort(times.values.begin(), times.values.end());
    return times;
  }

  void MeasureCost(Row& row) {
    std::this_thread::sleep_for(seconds(3));
    double nodes = static_cast<double>(nodes_.size());
    StoreCallCounts calls = store_.counts();
    double bytes = BytesSent(nodes_);
    double processor = bench::ProcessorSeconds();
    TimePoint start = SteadyClock().Now();
    TimePoint next = start;
    TimePoint end = start + seconds(absl::GetFlag(FLAGS_seconds));
    while (SteadyClock().Now() < end) {
      Commit(false);
      next += std::chrono::duration_cast<Duration>(duration<double>(1 / kChangesPerSecond));
      std::this_thread::sleep_until(std::min(next, end));
    }
    double elapsed = duration<double>(SteadyClock().Now() - start).count();
    row.processor = 100 * (bench::ProcessorSeconds() - processor) / elapsed / nodes;
    row.bytes = 2 * (BytesSent(nodes_) - bytes) / elapsed / nodes;
    StoreCallCounts now = store_.counts();
    row.reads = static_cast<double>(now.reads - calls.reads) / elapsed;
    row.writes = static_cast<double>(now.writes - calls.writes) / elapsed;
    row.watches = static_cast<double>(now.watches - calls.watches) / elapsed;
  }

  void DisconnectPeers(const std::atomic<bool>& running) {
    Random random(kSeed);
    double cuts = absl::GetFlag(FLAGS_cuts);
    while (running) {
      for (auto& node : nodes_) {
        for (auto& peer : nodes_) {
          if (random.NextDouble() < cuts) node->transport().Disconnect(peer->entry().peer);
        }
      }
      std::this_thread::sleep_for(milliseconds(500));
    }
  }

  MemoryStore store_;
  InstallLog log_;
  Random random_;
  std::atomic<double> loss_{0};
  ConfigDocument config_;
  std::vector<std::unique_ptr<EventLoop>> loops_;
  std::vector<std::unique_ptr<LightNode>> nodes_;
};

void PrintRow(const Row& row) {
  auto times = [](const ChangeTimes& times) {
    return fmt::format("{:5.2f} {:5.2f}{:>4}", times.Median(), times.Max(),
                       times.incomplete > 0 ? fmt::format("!{}", times.incomplete) : "");
  };
  fmt::print(
      "| {:5} | {:5.1f} | {} | {} | {} | {:10} | {:6.0f} | {:6.3f} | {:5.1f} | {:5.2f} | {:5.2f} "
      "| {:7.2f} | {:4.1f} |\n",
      row.nodes, row.join, times(row.plain), times(row.loss), times(row.outage), row.reversions,
      row.bytes, row.processor, row.memory, row.reads, row.writes, row.watches, row.load_average);
  std::fflush(stdout);
}

struct Projection {
  const char* name;
  const char* unit;
  double target;
  std::function<double(const Row&)> value;
  bool logarithmic = true;

  // Times and bytes grow with the logarithm of the fleet, because announcements take more hops and
  // updates are sent more often. Processor time is a constant plus a part that is inversely
  // proportional to the number of nodes, because the fleet does that work only once.
  double AxisOf(double nodes) const { return logarithmic ? std::log2(nodes) : 1 / nodes; }
  const char* axis() const { return logarithmic ? "log2(nodes)" : "1 / nodes"; }
};

std::vector<Projection> Projections() {
  return {{"slowest change without faults", "s", kTargetChangeSeconds,
           [](const Row& row) { return row.plain.Max(); }},
          {"slowest change with loss", "s", kTargetChangeSeconds,
           [](const Row& row) { return row.loss.Max(); }},
          {"slowest change with store outage", "s", kTargetChangeSeconds,
           [](const Row& row) { return row.outage.Max(); }},
          {"control bytes of a node", "bytes/s", kTargetBytesPerSecond,
           [](const Row& row) { return row.bytes; }},
          {"processor time of a node", "% of a core", kTargetCorePercent,
           [](const Row& row) { return row.processor; }, false}};
}

bench::LinearFit FitOf(const std::vector<Row>& rows, const Projection& projection) {
  std::vector<double> x;
  std::vector<double> y;
  for (const Row& row : rows) {
    x.push_back(projection.AxisOf(static_cast<double>(row.nodes)));
    y.push_back(projection.value(row));
  }
  return {x, y};
}

void PrintTable(const std::vector<Row>& rows) {
  if (rows.size() < 4) return;
  fmt::print("\n| figure | line | at {} nodes | target |\n|---|---|---|---|\n", kTargetNodes);
  for (const Projection& projection : Projections()) {
    bench::LinearFit fit = FitOf(rows, projection);
    double x = projection.AxisOf(kTargetNodes);
    fmt::print("| {} | {:.4g} + {:.4g} * {} | {:.4g} ± {:.2g} {} | {:.4g} |\n", projection.name,
               fit.intercept(), fit.slope(), projection.axis(), fit.At(x), fit.ErrorAt(x),
               projection.unit, projection.target);
  }
}

std::string FormatJson(const ChangeTimes& times) {
  return fmt::format(R"({{"median_s":{:.4f},"max_s":{:.4f},"changes":{},"incomplete":{}}})",
                     times.Median(), times.Max(), times.values.size(), times.incomplete);
}

void PrintJson(const std::vector<Row>& rows) {
  fmt::print("{{\"program\":\"light_nodes\",\"backends\":{},\"rows\":[",
             absl::GetFlag(FLAGS_backends));
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const Row& row = rows[i];
    fmt::print(
        R"({}{{"nodes":{},"join_s":{:.3f},"plain":{},"loss":{},"outage":{},"reversions":{},)"
        R"("bytes_per_s":{:.1f},"core_percent":{:.4f},"memory_mb":{:.2f},"store_reads_per_s":{:.3f},)"
        R"("store_writes_per_s":{:.3f},"store_watches_per_s":{:.3f},"load_average":{:.2f}}})",
        i == 0 ? "" : ",", row.nodes, row.join, FormatJson(row.plain), FormatJson(row.loss),
        FormatJson(row.outage), row.reversions, row.bytes, row.processor, row.memory, row.reads,
        row.writes, row.watches, row.load_average);
  }
  fmt::print("],\"projections\":[");
  bool first = true;
  if (rows.size() >= 4) {
    for (const Projection& projection : Projections()) {
      bench::LinearFit fit = FitOf(rows, projection);
      double x = projection.AxisOf(kTargetNodes);
      fmt::print(
          R"({}{{"name":"{}","unit":"{}","intercept":{:.6g},"slope":{:.6g},"axis":"{}","nodes":{},)"
          R"("value":{:.6g},"error":{:.3g},"target":{:.6g}}})",
          first ? "" : ",", projection.name, projection.unit, fit.intercept(), fit.slope(),
          projection.axis(), kTargetNodes, fit.At(x), fit.ErrorAt(x), projection.target);
      first = false;
    }
  }
  fmt::print("]}}\n");
}

bool InRange(double value, double low, double high) { return value >= low && value <= high; }

int Main() {
  std::string format = absl::GetFlag(FLAGS_format);
  bool valid =
      InRange(absl::GetFlag(FLAGS_changes), 1, 200) &&
      InRange(absl::GetFlag(FLAGS_seconds), 5, 300) && InRange(absl::GetFlag(FLAGS_loss), 0, 0.5) &&
      InRange(absl::GetFlag(FLAGS_cuts), 0, 0.5) &&
      InRange(absl::GetFlag(FLAGS_backends), 1, 36000) &&
      InRange(absl::GetFlag(FLAGS_loops), 1, 16) && (format == "table" || format == "json");
  std::vector<std::size_t> sizes;
  for (const std::string& text : absl::GetFlag(FLAGS_nodes)) {
    int size = 0;
    valid = valid && absl::SimpleAtoi(text, &size) && InRange(size, 4, 256);
    sizes.push_back(static_cast<std::size_t>(size));
  }
  if (!valid) {
    fmt::print(stderr, "a flag is out of its range, see --help\n");
    return 2;
  }
  bool table = format == "table";
  if (table) {
    fmt::print(
        "Time in s from the acceptance of a change until it is installed on all nodes: median and "
        "greatest of {} changes\n(!n: n changes not complete after {} s). Loss: {:.0f}% of the "
        "datagrams, and every 500 ms each node loses its\nconnections to {:.0f}% of the others. "
        "Outage: the store is down from the acceptance on. Cost: {} changes/s,\n{} backend "
        "servers, per node, bytes/s sent and received with headers; store calls/s of the whole "
        "fleet.\nTargets: {} s, 0 reversions, {} bytes/s, {}% of a core, 128 MB.\n\n",
        absl::GetFlag(FLAGS_changes), kChangeTimeout.count(), 100 * absl::GetFlag(FLAGS_loss),
        100 * absl::GetFlag(FLAGS_cuts), kChangesPerSecond, absl::GetFlag(FLAGS_backends),
        kTargetChangeSeconds, kTargetBytesPerSecond, kTargetCorePercent);
    fmt::print(
        "| nodes | join  | no faults       | loss            | outage          | reversions | "
        "bytes  | core % | MB    | reads | writes | watches | load |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  }
  std::vector<Row> rows;
  for (std::size_t size : sizes) {
    Fleet fleet(size);
    rows.push_back(fleet.Measure());
    if (table) PrintRow(rows.back());
  }
  if (table) {
    PrintTable(rows);
  } else {
    PrintJson(rows);
  }
  return 0;
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return damaskroute::Main();
}
