// Measures how the bytes, processor time and memory that membership and dissemination cost per node
// grow with the number of nodes. All nodes run in this process on one event loop and communicate
// over loopback sockets.

#include <malloc.h>
#include <sys/resource.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/dissemination/config_replica.h"
#include "damaskroute/dissemination/document_delta.h"
#include "damaskroute/membership/membership_driver.h"
#include "damaskroute/peer/message_codec.h"
#include "damaskroute/peer/peer_transport.h"
#include "fmt/format.h"

ABSL_FLAG(int, seconds, 30, "measured time for each number of nodes, 5 to 600");
ABSL_FLAG(
    double, changes_per_second, 0.35,
    "configuration changes in the whole fleet, 0 to 10; changes of the rosters cost the same");
ABSL_FLAG(std::vector<std::string>, nodes, (std::vector<std::string>{"4", "16", "64", "256"}),
          "numbers of nodes, each 2 to 256");

namespace damaskroute {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargetNodes = 7600;
constexpr double kRestartsPerSecond = 0.2;
constexpr std::size_t kChangeBytes = 1024;

// Bytes of IP and UDP headers, and of IP and TCP headers with timestamps. A TCP write costs its own
// headers and those of one acknowledgement.
constexpr double kUdpHeaders = 28;
constexpr double kTcpHeaders = 2 * 52;

// Bytes of the seven packets that open and close a TCP connection without data.
constexpr double kConnectBytes = 7 * 60;

// Seed of the simulated events; fixed so that runs are comparable.
constexpr std::uint64_t kSeed = 7;

// Largest document of the target: 36,000 backend servers at about 100 bytes each.
constexpr std::size_t kDocumentBytes = 3'600'000;

const PeerKeys& Keys() {
  static const PeerKeys* const keys = new PeerKeys{{1, "secret of the benchmark"}, {}};
  return *keys;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto to_seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

std::string RandomText(Random& random, std::size_t size) {
  std::string text;
  while (text.size() < size) text += fmt::format("{:016x}", random.Next());
  text.resize(size);
  return text;
}

struct Traffic {
  double datagrams = 0;
  double datagram_bytes = 0;
  double writes = 0;
  double stream_bytes = 0;
  double connects = 0;

  // Bytes sent on the wire; another node receives each of them.
  double WireBytes() const {
    return datagram_bytes + kUdpHeaders * datagrams + stream_bytes + kTcpHeaders * writes +
           kConnectBytes * connects;
  }
};

// Entry node with membership and a configuration replica only.
class Node {
 public:
  Node(asio::io_context& loop, std::size_t index, Incarnation incarnation, Endpoint endpoint)
      : replica_({}, kSeed + index + 1000 * incarnation) {
    NodeName name = fmt::format("entry-node-{:05}", index);
    PeerHandlers handlers;
    handlers.on_message = [this](const PeerContext& from, const Message& message) {
      OnMessage(from, message);
    };
    handlers.on_peer_lost = [this](const Endpoint& peer) {
      Execute(replica_.OnPeerLost(SteadyClock().Now(), peer));
    };
    transport_ = std::make_unique<PeerTransport>(
        loop, PeerIdentity{name, incarnation, std::move(endpoint)}, Keys(), handlers);
    if (!transport_->Listen().ok()) return;
    Member self{name,
                fmt::format("zone-{}", index % 5),
                transport_->endpoint(),
                incarnation,
                0,
                MemberState::kAlive};
    MembershipHandlers membership;
    membership.send_pull = [this](const Endpoint& to, const MembersPull& pull) {
      transport_->Send(to, pull);
    };
    membership.on_changed = [this](const MemberChanged&) { peers_changed_ = true; };
    membership.on_revisions = [this](const RevisionsSeen& seen) {
      Execute(replica_.OnRevisionSeen(SteadyClock().Now(), seen.endpoint, seen.config_revision,
                                      seen.store_contact));
    };
    driver_ = std::make_unique<MembershipDriver>(loop, self, Keys(), SwimOptions{},
                                                 kSeed + index + 1000 * incarnation, membership);
    open_ = driver_->Open().ok();
  }

  bool open() const { return open_; }
  Endpoint endpoint() const { return transport_->endpoint(); }
  MembershipDriver& driver() { return *driver_; }
  ConfigReplica& replica() { return replica_; }

  void Publish(Revision revision, std::string document) {
    Execute(replica_.OnStoreDocument(SteadyClock().Now(), revision, std::move(document)));
  }

  // Passes new peers to the replica and runs its timers. Called about ten times a second.
  void Tick() {
    if (std::exchange(peers_changed_, false)) {
      std::vector<Endpoint> peers;
      for (Member& member : driver_->state().LiveMembers()) {
        peers.push_back(std::move(member.endpoint));
      }
      replica_.SetPeers(std::move(peers));
    }
    if (replica_.NextTimer() <= SteadyClock().Now()) Execute(replica_.OnTimer(SteadyClock().Now()));
  }

  void AddTraffic(Traffic& total) const {
    const MembershipCounters& udp = driver_->counters();
    const PeerCounters& tcp = transport_->counters();
    total.datagrams += static_cast<double>(udp.datagrams_sent);
    total.datagram_bytes += static_cast<double>(udp.bytes_sent);
    total.writes += static_cast<double>(tcp.writes);
    total.stream_bytes += static_cast<double>(tcp.bytes_sent);
    total.connects += static_cast<double>(tcp.connects);
  }

 private:
  void OnMessage(const PeerContext& from, const Message& message) {
    TimePoint now = SteadyClock().Now();
    if (const auto* announce = std::get_if<ConfigAnnounce>(&message)) {
      Execute(replica_.OnAnnounce(now, from.endpoint, *announce));
    } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
      Execute(replica_.OnPull(now, from.endpoint, *pull));
    } else if (const auto* data = std::get_if<ConfigData>(&message)) {
      Execute(replica_.OnData(now, from.endpoint, *data));
    } else if (const auto* members = std::get_if<MembersPull>(&message)) {
      transport_->Send(from.endpoint, driver_->OnMembersPull(*members));
    } else if (const auto* table = std::get_if<MembersData>(&message)) {
      driver_->OnMembersData(*table);
    }
  }

  void Execute(const ReplicaActions& actions) {
    for (const ReplicaAction& action : actions) {
      if (const auto* send = std::get_if<SendToPeer>(&action)) {
        std::visit([&](const auto& message) { transport_->Send(send->to, message); },
                   send->message);
      } else {
        driver_->SetRevisions(replica_.revision(), 0, replica_.store_contact());
      }
    }
  }

  ConfigReplica replica_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<MembershipDriver> driver_;
  bool peers_changed_ = true;
  bool open_ = false;
};

class Fleet {
 public:
  explicit Fleet(std::size_t size) : random_(kSeed), incarnations_(size, 1) {
    document_ = RandomText(random_, 100'000);
    for (std::size_t i = 0; i < size; ++i) nodes_.push_back(MakeNode(i, {"127.0.0.1", 0}));
    // All nodes know each other from the start, so that joining is not part of the results.
    MembersData table;
    for (auto& node : nodes_) table.members.push_back(node->driver().state().self());
    for (auto& node : nodes_) {
      node->driver().Start({});
      node->driver().OnMembersData(table);
      node->Tick();
    }
    PublishChange();
  }

  void Run(duration<double> span, bool events) {
    TimePoint start = SteadyClock().Now();
    TimePoint end = start + std::chrono::duration_cast<Duration>(span);
    int changes = 0;
    int restarts = 0;
    while (SteadyClock().Now() < end) {
      loop_.run_for(milliseconds(100));
      double elapsed = duration<double>(SteadyClock().Now() - start).count();
      for (auto& node : nodes_) node->Tick();
      if (events && changes < elapsed * absl::GetFlag(FLAGS_changes_per_second)) {
        ++changes;
        PublishChange();
      }
      if (events && restarts < elapsed * kRestartsPerSecond) {
        ++restarts;
        Restart(random_.Below(nodes_.size()));
      }
    }
  }

  Traffic Total() const {
    Traffic total = ended_traffic_;
    for (const auto& node : nodes_) node->AddTraffic(total);
    return total;
  }

  // Number of nodes that have the latest revision.
  std::size_t CurrentCount() {
    std::size_t count = 0;
    for (auto& node : nodes_) count += node->replica().revision() == revision_;
    return count;
  }

 private:
  std::unique_ptr<Node> MakeNode(std::size_t index, const Endpoint& endpoint) {
    // The UDP port with the same number as the TCP port may be in use; then another pair is tried.
    for (int attempt = 0; attempt < 20; ++attempt) {
      auto node = std::make_unique<Node>(loop_, index, incarnations_[index], endpoint);
      if (node->open()) return node;
    }
    fmt::print(stderr, "cannot open sockets for node {}\n", index);
    std::exit(1);
  }

  void PublishChange() {
    std::size_t at = random_.Below(document_.size() - kChangeBytes);
    document_.replace(at, kChangeBytes, RandomText(random_, kChangeBytes));
    nodes_[random_.Below(nodes_.size())]->Publish(++revision_, document_);
  }

  void Restart(std::size_t index) {
    Endpoint endpoint = nodes_[index]->endpoint();
    nodes_[index]->driver().Leave();
    nodes_[index]->AddTraffic(ended_traffic_);
    nodes_[index].reset();
    ++incarnations_[index];
    nodes_[index] = MakeNode(index, endpoint);
    nodes_[index]->driver().Start({nodes_[(index + 1) % nodes_.size()]->endpoint()});
  }

  asio::io_context loop_;
  Random random_;
  std::vector<Incarnation> incarnations_;
  std::vector<std::unique_ptr<Node>> nodes_;
  Traffic ended_traffic_;
  Revision revision_ = 0;
  std::string document_;
};

struct Sample {
  double nodes = 0;
  double idle_bytes = 0;
  double bytes = 0;  // Sent and received.
  double processor = 0;
};

Sample Measure(std::size_t size) {
  int span = absl::GetFlag(FLAGS_seconds);
  Fleet fleet(size);
  fleet.Run(seconds(5), /*events=*/false);
  Traffic before = fleet.Total();
  fleet.Run(seconds(5), /*events=*/false);
  Sample sample;
  sample.nodes = static_cast<double>(size);
  sample.idle_bytes = 2 * (fleet.Total().WireBytes() - before.WireBytes()) / 5 / sample.nodes;
  before = fleet.Total();
  double processor = ProcessorSeconds();
  TimePoint start = SteadyClock().Now();
  fleet.Run(seconds(span), /*events=*/true);
  double elapsed = duration<double>(SteadyClock().Now() - start).count();
  sample.processor = (ProcessorSeconds() - processor) / elapsed / sample.nodes;
  sample.bytes = 2 * (fleet.Total().WireBytes() - before.WireBytes()) / elapsed / sample.nodes;
  fleet.Run(seconds(5), /*events=*/false);
  fmt::print("| {:5} | {:12.0f} | {:12.0f} | {:9.3f} | {:4}/{:<4} |\n", size, sample.idle_bytes,
             sample.bytes, 100 * sample.processor, fleet.CurrentCount(), size);
  std::fflush(stdout);
  return sample;
}

// Cost of a node: a constant, a part that is inversely proportional to the number of nodes (work
// done once per event in the whole fleet, such as the document fetch of a restarted node), and a
// part that grows with the logarithm of that number (the number of times that an update is sent).
struct CostModel {
  double constant = 0;
  double shared = 0;       // Divided by the number of nodes.
  double logarithmic = 0;  // Times log2 of the number of nodes.

  double At(double nodes) const {
    return constant + shared / nodes + logarithmic * std::log2(nodes);
  }
};

// Least-squares fit by the normal equations. A negative logarithmic term is noise of the small
// sizes and would make the extrapolation too low, so the fit is then repeated without it.
template <typename Value>
CostModel Fit(const std::vector<Sample>& samples, Value value, bool with_logarithm = true) {
  double matrix[3][4] = {};
  for (const Sample& sample : samples) {
    double row[4] = {1, 1 / sample.nodes, std::log2(sample.nodes), value(sample)};
    for (int i = 0; i < 3; ++i) {
      for (int j = 0; j < 4; ++j) matrix[i][j] += row[i] * row[j];
    }
  }
  if (!with_logarithm) {
    for (int i = 0; i < 3; ++i) matrix[i][2] = matrix[2][i] = 0;
    matrix[2][2] = 1;
    matrix[2][3] = 0;
  }
  for (int pivot = 0; pivot < 3; ++pivot) {
    for (int i = 0; i < 3; ++i) {
      if (i == pivot) continue;
      double factor = matrix[i][pivot] / matrix[pivot][pivot];
      for (int j = pivot; j < 4; ++j) matrix[i][j] -= factor * matrix[pivot][j];
    }
  }
  CostModel model{matrix[0][3] / matrix[0][0], matrix[1][3] / matrix[1][1],
                  matrix[2][3] / matrix[2][2]};
  return model.logarithmic < 0 ? Fit(samples, value, false) : model;
}

void PrintModel(const char* name, const CostModel& model) {
  fmt::print("{}: {:.4g} + {:.4g} / nodes + {:.4g} * log2(nodes) = {:.4g} at {} nodes\n", name,
             model.constant, model.shared, model.logarithmic, model.At(kTargetNodes), kTargetNodes);
}

std::vector<Member> FleetTable() {
  std::vector<Member> members;
  members.reserve(kTargetNodes);
  for (int i = 0; i < kTargetNodes; ++i) {
    members.push_back({fmt::format("entry-node-{:05}", i),
                       fmt::format("zone-{}", i % 5),
                       {fmt::format("10.{}.{}.17", i / 200, i % 200), 7000},
                       1,
                       0,
                       MemberState::kAlive});
  }
  return members;
}

// Measures the memory and processor time of one node that depend on the size of the whole fleet.
void MeasureFullTable() {
  double changes_per_second = absl::GetFlag(FLAGS_changes_per_second);
  std::vector<Member> members = FleetTable();
  double table_bytes = static_cast<double>(EncodeMessage(MembersData{members}).size());
  std::size_t heap = mallinfo2().uordblks;
  SwimState state(members[0], {}, kSeed);
  ReplayWindow window;
  ConfigReplica replica({}, kSeed);
  Random random(kSeed);
  ManualClock clock;
  state.Start(clock.Now(), {});
  double started = ProcessorSeconds();
  state.OnMembersData(clock.Now(), members);
  double join = ProcessorSeconds() - started;
  for (const Member& member : members) window.Accept(member.node, 1, 1);
  std::string document = RandomText(random, kDocumentBytes);
  replica.OnStoreDocument(clock.Now(), 1, document);
  heap = mallinfo2().uordblks - heap;

  constexpr int kPeriods = 2000;
  started = ProcessorSeconds();
  for (int i = 0; i < kPeriods; ++i) {
    clock.Advance(milliseconds(500));
    state.OnTimer(clock.Now());
    // One ack and two probes per probe period, with one member update every five periods (0.4/s).
    for (int j = 0; j < 3; ++j) {
      PeerDatagram datagram{};
      datagram.kind = j == 0 ? DatagramKind::kAck : DatagramKind::kProbe;
      datagram.sender = members[1 + random.Below(kTargetNodes - 1)];
      if (i % 5 == 0 && j == 0) {
        Member& update = members[1 + random.Below(kTargetNodes - 1)];
        ++update.incarnation;
        datagram.updates = {update};
      }
      state.OnDatagram(clock.Now(), datagram);
    }
  }
  double period = (ProcessorSeconds() - started) / kPeriods;

  constexpr int kChanges = 20;
  std::string changed = document;
  changed.replace(kDocumentBytes / 2, kChangeBytes, RandomText(random, kChangeBytes));
  started = ProcessorSeconds();
  for (int i = 0; i < kChanges; ++i) MakeDelta(document, changed);
  double make = (ProcessorSeconds() - started) / kChanges;
  std::string delta = MakeDelta(document, changed);
  started = ProcessorSeconds();
  for (int i = 0; i < kChanges; ++i) {
    ConfigReplica receiver = replica;
    receiver.OnData(clock.Now(), {"127.0.0.1", 1}, {2, Hash64(changed), 1, {}, {delta}});
  }
  double apply = (ProcessorSeconds() - started) / kChanges;

  fmt::print("\nOne node with the table of {} members and a document of {:.1f} MB:\n", kTargetNodes,
             kDocumentBytes * 1e-6);
  fmt::print("  heap {:.1f} MB, first table {:.1f} ms of processor time\n",
             static_cast<double>(heap) * 1e-6, 1e3 * join);
  fmt::print("  state machine {:.1f} us per probe period, {:.4f}% of a core\n", 1e6 * period,
             100 * period / 0.5);
  fmt::print("  exchange of the whole table: {:.0f} bytes, {:.0f} bytes/s sent and received\n",
             table_bytes, 2 * table_bytes / 3600);
  fmt::print(
      "  change of {} bytes: delta {} bytes, made in {:.1f} ms (readers), hashed and "
      "applied in {:.1f} ms, {:.3f}% of a core at {} changes/s\n",
      kChangeBytes, delta.size(), 1e3 * make, 1e3 * apply, 100 * apply * changes_per_second,
      changes_per_second);
  fmt::print(
      "  whole document for each restarted node: {:.0f} bytes/s sent and received per node\n",
      2.0 * kDocumentBytes * kRestartsPerSecond / kTargetNodes);
  fmt::print("  changes pulled whole instead: {:.0f} bytes/s sent and received\n",
             2.0 * kDocumentBytes * changes_per_second);
}

int Main() {
  int span = absl::GetFlag(FLAGS_seconds);
  double changes_per_second = absl::GetFlag(FLAGS_changes_per_second);
  if (span < 5 || span > 600 || !(changes_per_second >= 0 && changes_per_second <= 10)) {
    fmt::print(stderr, "--seconds: expected 5 to 600; --changes_per_second: expected 0 to 10\n");
    return 2;
  }
  std::vector<std::size_t> sizes;
  for (const std::string& text : absl::GetFlag(FLAGS_nodes)) {
    int size = std::atoi(text.c_str());
    if (size < 2 || size > 256) {
      fmt::print(stderr, "--nodes: expected numbers from 2 to 256, got \"{}\"\n", text);
      return 2;
    }
    sizes.push_back(static_cast<std::size_t>(size));
  }
  fmt::print(
      "Per node, bytes/s sent and received with IP headers (TCP headers estimated), {} s "
      "each,\n{} restarts/s and {} changes/s of {} bytes in the whole fleet, seed {}.\n\n",
      span, kRestartsPerSecond, changes_per_second, kChangeBytes, kSeed);
  fmt::print(
      "| nodes | idle bytes/s | bytes/s      | core %    | current   |\n"
      "|-------|--------------|--------------|-----------|-----------|\n");
  std::vector<Sample> samples;
  samples.reserve(sizes.size());
  for (std::size_t size : sizes) samples.push_back(Measure(size));
  if (samples.size() >= 4) {
    fmt::print("\n");
    PrintModel("bytes/s", Fit(samples, [](const Sample& s) { return s.bytes; }));
    PrintModel("core %", Fit(samples, [](const Sample& s) { return 100 * s.processor; }));
  }
  MeasureFullTable();
  return 0;
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return damaskroute::Main();
}
