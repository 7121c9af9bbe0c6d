// Measures how the cost of one node and of the operators' interface grows with the size of the
// configuration and of the roster, up to the target size. Times are processor time of this process,
// so other load on the machine has little effect. docs/CAPACITY.md is generated from the output.

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "benchmark/support/linear_fit.h"
#include "benchmark/support/process_usage.h"
#include "benchmark/support/target_config.h"
#include "damaskroute/config/config_codec.h"
#include "damaskroute/config/config_decoder.h"
#include "damaskroute/config/declaration.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/dissemination/config_replica.h"
#include "damaskroute/dissemination/document_delta.h"
#include "damaskroute/intent/chunks.h"
#include "damaskroute/intent/planner.h"
#include "damaskroute/node/control_plane.h"
#include "damaskroute/node/replication.h"
#include "damaskroute/node/store_agent.h"
#include "damaskroute/peer/message_codec.h"
#include "damaskroute/peer/peer_transport.h"
#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/shares/share_table.h"
#include "damaskroute/store/memory_store.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

ABSL_FLAG(std::string, parts, "config,operators,roster,members,claims,peers,seats",
          "parts to measure, separated by commas");
ABSL_FLAG(int, backends_per_service, 440, "backend servers of each service, 2 to 36000");
ABSL_FLAG(int, runs, 7, "runs of which the median is taken, 3 to 99");
ABSL_FLAG(std::string, format, "table", "table or json");

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

constexpr double kTargetNodes = 7600;
constexpr double kTargetBackends = 36000;
constexpr double kBackendsPerNode = 4.7;
constexpr std::uint64_t kSeed = 5;
constexpr double kMegabyte = 1e6;

struct Figure {
  const char* name;
  const char* unit;
  double value;
};
using Figures = std::vector<Figure>;

double HeapMegabytes() { return static_cast<double>(mallinfo2().uordblks) / kMegabyte; }

// Returns the median processor time of `run` in milliseconds; `prepare` is not measured.
double MedianMs(const std::function<void()>& prepare, const std::function<void()>& run) {
  std::vector<double> times;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    prepare();
    double start = bench::ProcessorSeconds();
    run();
    times.push_back(1e3 * (bench::ProcessorSeconds() - start));
  }
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
                   times.end());
  return times[times.size() / 2];
}

double MedianMs(const std::function<void()>& run) {
  return MedianMs([] {}, run);
}

void ChangeOneBackend(ConfigDocument& config) {
  ++config.revision;
  auto& backends = config.services[config.revision % config.services.size()].backends;
  BackendServer& backend = backends[config.revision % backends.size()];
  backend.connections = 30 + static_cast<int>(config.revision % 7);
}

// Control plane of a node with an installed configuration and roster, on an event loop that this
// thread runs.
class InstalledNode {
 public:
  InstalledNode(const ConfigDocument& config, const Roster& roster)
      : loop_(kSeed), control_(loop_, Identity(roster), view_, Hooks()) {
    control_.InstallRoster(roster);
    control_.InstallConfig(config);
    // With a predecessor, the share table sends no claims for 60 s.
    control_.OnLocalEntryAdded(/*had_predecessor=*/true);
    Flush();
    ApplyReports();
  }

  ControlPlane& control() { return control_; }
  std::shared_ptr<const NodeView> view() const { return view_.Load(); }

  // Runs the tasks that the last change scheduled.
  void Flush() {
    std::this_thread::sleep_for(milliseconds(3));
    loop_.context().poll();
  }

  double reports_sent() const { return reports_sent_; }
  double report_bytes() const { return report_bytes_; }
  void ResetReports() { reports_sent_ = report_bytes_ = 0; }

 private:
  static ControlIdentity Identity(const Roster& roster) {
    const RosterEntry& entry = roster.node_entries.front();
    return {entry.node, entry.zone, entry.incarnation, kBackendsPerNode};
  }

  ControlHooks Hooks() {
    ControlHooks hooks;
    hooks.set_limit = [](const HolderLoop::Limit&) {};
    hooks.view_changed = [](const ServiceName&) {};
    hooks.send_to_node = [this](const NodeName&, const Message& message) {
      if (!std::holds_alternative<BackendReport>(message)) return;
      ++reports_sent_;
      if (report_size_ == 0) report_size_ = static_cast<double>(EncodeMessage(message).size());
      report_bytes_ += report_size_;
    };
    return hooks;
  }

  // Delivers reports of all holders, this node included, for the services that it coordinates.
  void ApplyReports() {
    auto view = view_.Load();
    const NodeName& self = view->roster.node_entries.front().node;
    std::uint64_t sequence = 1;
    for (const ServiceName& name : view->placement.ServicesCoordinatedBy(self)) {
      for (const BackendServer& backend : view->config.FindService(name)->backends) {
        auto holders = view->placement.HoldersOf(backend.name);
        BackendReport report;
        report.service = name;
        report.backend = backend.name;
        report.boot_id = 1;
        report.state = BackendState::kWarm;
        report.share = 1;
        report.held = {{1, {0, kKeySpaceSize}}};
        for (const NodeName& holder : {holders->first, holders->second.value_or(holders->first)}) {
          report.holder = holder;
          report.sequence = sequence;
          if (holder == self) {
            control_.OnLocalReport(report);
          } else {
            control_.OnPeerReport(report);
          }
        }
      }
    }
    Flush();
  }

  EventLoop loop_;
  Snapshot<NodeView> view_;
  ControlPlane control_;
  double reports_sent_ = 0;
  double report_bytes_ = 0;
  double report_size_ = 0;
};

int NodeCountFor(double backends) {
  return std::max(10, static_cast<int>(std::lround(backends * kTargetNodes / kTargetBackends)));
}

Figures MeasureConfig(double size) {
  ConfigDocument config =
      bench::MakeTargetConfig(static_cast<int>(size), absl::GetFlag(FLAGS_backends_per_service));
  Roster roster = bench::MakeTargetRoster(NodeCountFor(size));
  std::string bytes = *EncodeConfig(config);
  ConfigDocument changed = config;
  ChangeOneBackend(changed);
  std::string changed_bytes = *EncodeConfig(changed);
  std::string delta = MakeDelta(bytes, changed_bytes);
  double encode = MedianMs([&] { (void)EncodeConfig(config); });
  double decode = MedianMs([&] { (void)DecodeConfig(bytes); });
  ConfigDocument sequence = config;
  ConfigDecoder decoder;
  (void)decoder.Decode(std::make_shared<const std::string>(bytes));
  std::shared_ptr<const std::string> next_bytes;
  double decode_next = MedianMs(
      [&] {
        ChangeOneBackend(sequence);
        next_bytes = std::make_shared<const std::string>(*EncodeConfig(sequence));
      },
      [&] { (void)decoder.Decode(next_bytes); });
  double make = MedianMs([&] { MakeDelta(bytes, changed_bytes); });
  double apply = MedianMs([&] { (void)Hash64(*ApplyDelta(bytes, delta)); });
  Placement placement(config, roster);
  double next = MedianMs([&] { placement.Next(changed, roster); });
  double copy = MedianMs([&] { (void)std::make_unique<ConfigDocument>(config); });

  // A node also holds the encoded documents and their latest deltas in its replicas.
  double heap = HeapMegabytes();
  auto node = std::make_unique<InstalledNode>(config, roster);
  ConfigReplica config_replica({}, kSeed);
  config_replica.OnStoreDocument(SteadyClock().Now(), 1, bytes);
  ConfigReplica roster_replica({}, kSeed);
  roster_replica.OnStoreDocument(SteadyClock().Now(), 1, EncodeRoster(roster));
  double memory = HeapMegabytes() - heap;

  ConfigDocument revised = config;
  ConfigDocument next_revision;
  double install = MedianMs(
      [&] {
        ChangeOneBackend(revised);
        next_revision = revised;
      },
      [&] {
        node->control().InstallConfig(std::move(next_revision));
        node->Flush();
      });
  auto old_view = node->view();
  ChangeOneBackend(revised);
  node->ResetReports();
  node->control().InstallConfig(revised);
  double peak = HeapMegabytes() - heap;
  old_view.reset();
  node->Flush();
  return {{"encoded configuration", "MB", static_cast<double>(bytes.size()) / kMegabyte},
          {"encode (reader, committing node)", "ms", encode},
          {"decode the whole configuration", "ms", decode},
          {"decode the next revision", "ms", decode_next},
          {"make the delta (reader)", "ms", make},
          {"apply and hash the delta", "ms", apply},
          {"placement after a change", "ms", next},
          {"copy of the configuration", "ms", copy},
          {"install in the control plane", "ms", install},
          {"apply, decode and install a change", "ms", decode_next + apply + install},
          {"reports sent on a change", "messages", node->reports_sent()},
          {"bytes of these reports", "bytes", node->report_bytes()},
          {"heap: documents, placement, reports", "MB", memory},
          {"the same while the previous view is in use", "MB", peak}};
}

Figures MeasureOperators(double size) {
  ConfigDocument config =
      bench::MakeTargetConfig(static_cast<int>(size), absl::GetFlag(FLAGS_backends_per_service));
  std::string text = bench::DeclarationText(config);
  double start = bench::ProcessorSeconds();
  auto parsed = ParseDeclaration({{"all.yaml", text}});
  double parse = 1e3 * (bench::ProcessorSeconds() - start);
  if (!parsed.ok()) {
    fmt::print(stderr, "the declaration was rejected: {}\n", parsed.status().message().data());
    std::exit(1);
  }
  ConfigDocument changed = *parsed;
  changed.services[0].backends[0].connections = 40;
  double plan = MedianMs([&] { (void)Planner().MakePlan(config, changed); });
  std::string bytes = *EncodeConfig(config);
  std::size_t chunk_count = 0;
  double chunks = MedianMs([&] {
    std::vector<std::string> parts = SplitChunks(bytes);
    chunk_count = parts.size();
    EncodeManifest(parts);
  });
  return {
      {"declaration", "MB", static_cast<double>(text.size()) / kMegabyte},
      {"parse the declaration", "ms", parse},
      {"make a plan for one change", "ms", plan},
      {"split into chunks and hash them", "ms", chunks},
      {"chunks, read by each reader on each change", "reads", static_cast<double>(chunk_count)}};
}

Figures MeasureRoster(double size) {
  int node_count = static_cast<int>(size);
  ConfigDocument config =
      bench::MakeTargetConfig(static_cast<int>(size * kTargetBackends / kTargetNodes),
                              absl::GetFlag(FLAGS_backends_per_service));
  Roster roster = bench::MakeTargetRoster(node_count);
  std::string text = EncodeRoster(roster);
  double decode = MedianMs([&] { (void)DecodeRoster(text); });
  double encode = MedianMs([&] { (void)EncodeRoster(roster); });
  InstalledNode node(config, roster);
  Roster revised = roster;
  std::size_t index = 1;
  Roster next_roster;
  node.ResetReports();
  double installs = 0;
  double install = MedianMs(
      [&] {
        // Removes a roster entry of each zone in turn.
        revised.node_entries.erase(revised.node_entries.begin() +
                                   static_cast<std::ptrdiff_t>(++index));
        ++revised.revision;
        next_roster = revised;
        ++installs;
      },
      [&] {
        node.control().InstallRoster(std::move(next_roster));
        node.Flush();
      });
  return {{"encoded roster", "MB", static_cast<double>(text.size()) / kMegabyte},
          {"decode the roster", "ms", decode},
          {"encode the roster", "ms", encode},
          {"install in the control plane, shares included", "ms", install},
          {"decode and install", "ms", decode + install},
          {"reports sent on a change of the roster", "messages", node.reports_sent() / installs}};
}

// Cost of receiving the table of all members at once, as when joining, and then single restarts.
Figures MeasureMembers(double size) {
  EventLoop loop(kSeed);
  PeerKeys keys{{1, "secret of the benchmark"}, {}};
  Roster roster = bench::MakeTargetRoster(static_cast<int>(size));
  MembersData all_members;
  for (const RosterEntry& entry : roster.node_entries) {
    all_members.members.push_back(
        {entry.node, entry.zone, entry.peer, entry.incarnation, 0, MemberState::kAlive});
  }
  ReplicationHooks hooks;
  hooks.send = [](const Endpoint&, const Message&) {};
  hooks.install_config = [](const ConfigDocument&) {};
  hooks.install_roster = [](const Roster&) {};
  hooks.member_changed = [](const Member&) {};
  hooks.superseded = [] {};
  double heap = HeapMegabytes();
  Replication replication(loop, all_members.members[0], keys, std::move(hooks));
  replication.Start({});
  auto receive = [&](const MembersData& data) {
    double start = bench::ProcessorSeconds();
    replication.OnMessage(all_members.members[1].endpoint, data);
    loop.context().poll();
    return 1e3 * (bench::ProcessorSeconds() - start);
  };
  double join = receive(all_members);
  double memory = HeapMegabytes() - heap;
  MembersData restart;
  double change = 0;
  constexpr int kChanges = 20;
  for (int i = 1; i <= kChanges; ++i) {
    restart.members = {all_members.members[static_cast<std::size_t>(i)]};
    ++restart.members[0].incarnation;
    change += receive(restart) / kChanges;
  }
  return {{"apply the table of all members", "ms", join},
          {"apply the restart of a member", "ms", change},
          {"heap of the member table", "MB", memory}};
}

Figures MeasureClaims(double size) {
  int node_count = static_cast<int>(size);
  auto roster = std::make_shared<const Roster>(bench::MakeTargetRoster(node_count));
  ConfigDocument config =
      bench::MakeTargetConfig(static_cast<int>(size * kTargetBackends / kTargetNodes),
                              absl::GetFlag(FLAGS_backends_per_service));
  auto placement = std::make_shared<const Placement>(config, *roster);
  ManualClock clock;
  auto make_table = [&](const RosterEntry& entry) {
    ShareTableOptions options;
    options.self = entry.node;
    options.incarnation = entry.incarnation;
    options.started = clock.Now();
    options.had_predecessor = false;
    ShareTable table(options);
    table.OnPlacement(placement, roster, clock.Now());
    return table;
  };
  ShareTable claimant = make_table(roster->node_entries[0]);
  ShareTable responder = make_table(roster->node_entries[1]);
  double halves = 0;
  for (const BackendName& backend : placement->BackendsHeldBy(roster->node_entries[0].node)) {
    auto holders = placement->HoldersOf(backend);
    halves += (holders->first == roster->node_entries[0].node) +
              (holders->OwnerOf(ShareHalf::kSecond) == roster->node_entries[0].node);
  }
  clock.Advance(milliseconds(600));
  double start = bench::ProcessorSeconds();
  ShareTable::Actions actions = claimant.OnTimer(clock.Now());
  std::vector<const SendShareMessage*> claims;
  double bytes = 0;
  for (const ShareAction& action : actions) {
    const auto* send = std::get_if<SendShareMessage>(&action);
    if (send == nullptr) continue;
    claims.push_back(send);
    std::visit(
        [&](const auto& message) {
          bytes += static_cast<double>(EncodeMessage(Message(message)).size());
        },
        send->message);
  }
  double send_us = 1e6 * (bench::ProcessorSeconds() - start) / static_cast<double>(claims.size());
  constexpr int kAnswers = 20000;
  double reply_bytes = 0;
  start = bench::ProcessorSeconds();
  for (int i = 0; i < kAnswers; ++i) {
    const SendShareMessage& claim = *claims[static_cast<std::size_t>(i) % claims.size()];
    for (const ShareAction& action :
         responder.OnMessage(roster->node_entries[0].node, claim.message, clock.Now())) {
      if (const auto* send = std::get_if<SendShareMessage>(&action)) {
        std::visit(
            [&](const auto& message) {
              reply_bytes += static_cast<double>(EncodeMessage(Message(message)).size());
            },
            send->message);
      }
    }
  }
  double answer_us = 1e6 * (bench::ProcessorSeconds() - start) / kAnswers;
  double count = static_cast<double>(claims.size());
  return {{"halves of a node", "halves", halves},
          {"claims of these, one round", "messages", count},
          {"claims for a half", "messages", count / std::max(1.0, halves)},
          {"bytes of a claim", "bytes", bytes / count},
          {"bytes of a reply", "bytes", reply_bytes / kAnswers},
          {"make and encode a claim", "us", send_us},
          {"answer a claim", "us", answer_us}};
}

// One node sends a message to `size` others that it has no connection to, as it does with a claim.
// Each of them replies over a connection that it opens itself.
Figures MeasurePeers(double size) {
  PeerKeys keys{{1, "secret of the benchmark"}, {}};
  asio::io_context loop;
  auto count = static_cast<std::size_t>(size);
  std::size_t answers = 0;
  std::vector<std::unique_ptr<PeerTransport>> peers(count + 1);
  for (std::size_t i = 0; i <= count; ++i) {
    PeerHandlers handlers;
    handlers.on_message = [&, i](const PeerContext& from, const Message& message) {
      if (i == 0) {
        ++answers;
      } else {
        peers[i]->Send(from.endpoint, message);
      }
    };
    handlers.on_peer_lost = [](const Endpoint&) {};
    peers[i] = std::make_unique<PeerTransport>(
        loop, PeerIdentity{fmt::format("entry-node-{:05}", i), 1, {"127.0.0.1", 0}}, keys,
        handlers);
    if (!peers[i]->Listen().ok()) std::exit(1);
  }
  double heap = HeapMegabytes();
  // Processor time in milliseconds.
  auto round = [&] {
    answers = 0;
    double start = bench::ProcessorSeconds();
    for (std::size_t i = 1; i <= count; ++i) peers[0]->Send(peers[i]->endpoint(), CancelCalls{});
    TimePoint end = SteadyClock().Now() + std::chrono::seconds(10);
    while (answers < count && SteadyClock().Now() < end) loop.run_for(milliseconds(1));
    return 1e3 * (bench::ProcessorSeconds() - start);
  };
  double first = round();
  double connects = 0;
  for (const auto& peer : peers) connects += static_cast<double>(peer->counters().connects);
  double lost = size - static_cast<double>(answers);
  double memory = HeapMegabytes() - heap;
  double second = round();
  return {{"request and reply of all peers, connections closed", "ms", first},
          {"request and reply of all peers, connections open", "ms", second},
          {"connections opened", "connections", connects},
          {"opening a connection, both ends", "us", 1e3 * (first - second) / connects},
          {"heap of all connections, both ends", "MB", memory},
          {"requests without reply", "messages", lost}};
}

// Store whose calls take a network round trip.
class RemoteStore {
 public:
  explicit RemoteStore(MemoryStore& store) : store_(&store) {}
  absl::StatusOr<StoredValue> Get(const std::string& key) {
    std::this_thread::sleep_for(kRoundTrip);
    return store_->Get(key);
  }
  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key, std::uint64_t version,
                                               const std::string& value) {
    std::this_thread::sleep_for(kRoundTrip);
    return store_->CompareAndSwap(key, version, value);
  }
  absl::StatusOr<StoredValue> Watch(const std::string& key, std::uint64_t after,
                                    milliseconds timeout) {
    return store_->Watch(key, after, timeout);
  }

 private:
  static constexpr milliseconds kRoundTrip{2};
  MemoryStore* store_;
};

// VM list that is never available; the removal of roster entries is not measured.
struct NoVmList {
  absl::StatusOr<VmList> Read() { return absl::UnavailableError("no VM list"); }
};

// All nodes start at once and add themselves to the roster. Two of them are readers, which add the
// entries of all live members in one write.
Figures MeasureRosterEntries(double size) {
  MemoryStore store;
  std::atomic<std::size_t> added{0};
  using Agent = StoreAgent<RemoteStore, NoVmList>;
  std::vector<std::unique_ptr<Agent>> agents;
  Roster roster = bench::MakeTargetRoster(static_cast<int>(size));
  TimePoint start = SteadyClock().Now();
  for (const RosterEntry& entry : roster.node_entries) {
    StoreAgentHooks hooks;
    bool is_reader = agents.size() < 2;
    hooks.is_reader = [is_reader] { return is_reader; };
    hooks.on_config = [](Revision, const std::string&) {};
    hooks.on_roster = [](Revision, const std::string&) {};
    hooks.on_store_contact = [] {};
    hooks.on_local_entry_added = [&](bool) { ++added; };
    hooks.live_members = [&roster] { return roster.node_entries; };
    hooks.roster = [] { return std::make_shared<const Roster>(); };
    RosterUpdaterOptions options;
    options.self = entry;
    agents.push_back(
        std::make_unique<Agent>(RemoteStore(store), NoVmList{}, options, std::move(hooks)));
    agents.back()->Start();
  }
  while (added < agents.size()) std::this_thread::sleep_for(milliseconds(1));
  std::chrono::duration<double> elapsed = SteadyClock().Now() - start;
  StoreCallCounts calls = store.counts();
  for (auto& agent : agents) agent->Stop();
  return {{"reads per roster entry", "calls", static_cast<double>(calls.reads) / size},
          {"writes per roster entry", "calls", static_cast<double>(calls.writes) / size},
          {"writes that failed, of all", "ratio", 1 - size / static_cast<double>(calls.writes)},
          {"time until all are in the roster", "s", elapsed.count()}};
}

struct Part {
  const char* name;
  const char* axis;
  std::vector<double> sizes;
  double target;
  std::function<Figures(double)> measure;
};

std::vector<Part> Parts() {
  std::vector<double> backends{2250, 4500, 9000, 18000, kTargetBackends};
  std::vector<double> node_counts{475, 950, 1900, 3800, kTargetNodes};
  return {{"config", "backend servers", backends, kTargetBackends, MeasureConfig},
          {"operators", "backend servers", backends, kTargetBackends, MeasureOperators},
          {"roster", "seats", node_counts, kTargetNodes, MeasureRoster},
          {"members", "nodes", node_counts, kTargetNodes, MeasureMembers},
          {"claims", "seats", node_counts, kTargetNodes, MeasureClaims},
          {"peers", "peers", {32, 64, 128, 256}, kTargetNodes, MeasurePeers},
          {"seats", "nodes", {4, 16, 32, 64, 128}, kTargetNodes, MeasureRosterEntries}};
}

struct PartResult {
  const Part* part;
  std::vector<Figures> columns;  // One per size.
  double load_average = 0;       // Load average of the machine after the measurement.

  bench::LinearFit Fit(std::size_t row) const {
    std::vector<double> y;
    for (const Figures& column : columns) y.push_back(column[row].value);
    return {part->sizes, y};
  }
};

void PrintTable(const PartResult& measured) {
  const Part& part = *measured.part;
  fmt::print("\n### {}, by {} (load average {:.1f})\n\n| figure |", part.name, part.axis,
             measured.load_average);
  for (double size : part.sizes) fmt::print(" {} |", size);
  fmt::print(" per 1,000 | line at {} |\n|---|", part.target);
  for (std::size_t i = 0; i < part.sizes.size(); ++i) fmt::print("---|");
  fmt::print("---|---|\n");
  for (std::size_t row = 0; row < measured.columns[0].size(); ++row) {
    fmt::print("| {}, {} |", measured.columns[0][row].name, measured.columns[0][row].unit);
    for (const Figures& column : measured.columns) fmt::print(" {:.4g} |", column[row].value);
    bench::LinearFit fit = measured.Fit(row);
    fmt::print(" {:.3g} | {:.4g} ± {:.2g} |\n", 1000 * fit.slope(), fit.At(part.target),
               fit.ErrorAt(part.target));
  }
  std::fflush(stdout);
}

void PrintJson(const PartResult& measured, bool first) {
  const Part& part = *measured.part;
  fmt::print(R"({}{{"name":"{}","axis":"{}","load_average":{:.2f},"sizes":[{}],"figures":[)",
             first ? "" : ",", part.name, part.axis, measured.load_average,
             fmt::join(part.sizes, ","));
  for (std::size_t row = 0; row < measured.columns[0].size(); ++row) {
    std::vector<double> values;
    for (const Figures& column : measured.columns) values.push_back(column[row].value);
    bench::LinearFit fit = measured.Fit(row);
    fmt::print(R"({}{{"name":"{}","unit":"{}","values":[{}],"intercept":{:.6g},"slope":{:.6g},)"
               R"("at_target":{:.6g},"error":{:.3g}}})",
               row == 0 ? "" : ",", measured.columns[0][row].name, measured.columns[0][row].unit,
               fmt::join(values, ","), fit.intercept(), fit.slope(), fit.At(part.target),
               fit.ErrorAt(part.target));
  }
  fmt::print("]}}");
}

int Main() {
  std::string format = absl::GetFlag(FLAGS_format);
  int runs = absl::GetFlag(FLAGS_runs);
  int per_service = absl::GetFlag(FLAGS_backends_per_service);
  if ((format != "table" && format != "json") || runs < 3 || runs > 99 || per_service < 2 ||
      per_service > kTargetBackends) {
    fmt::print(stderr, "a flag is out of its range, see --help\n");
    return 2;
  }
  bool table = format == "table";
  std::string wanted = "," + absl::GetFlag(FLAGS_parts) + ",";
  std::vector<Part> parts = Parts();
  if (!table) fmt::print(R"({{"program":"capacity","parts":[)");
  bool first = true;
  for (const Part& part : parts) {
    if (wanted.find(fmt::format(",{},", part.name)) == std::string::npos) continue;
    PartResult measured{&part, {}};
    (void)part.measure(part.sizes[0]);  // Warm-up; the first run also grows the heap.
    for (double size : part.sizes) measured.columns.push_back(part.measure(size));
    measured.load_average = bench::LoadAverage();
    if (table) {
      PrintTable(measured);
    } else {
      PrintJson(measured, std::exchange(first, false));
    }
  }
  if (!table) fmt::print("]}}\n");
  return 0;
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return damaskroute::Main();
}
