#include "damaskroute/roster/roster_updater.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {
namespace {

using std::chrono::seconds;
constexpr TimePoint kNow{std::chrono::hours(1)};

RosterEntry MakeEntry(const NodeName& node, Incarnation incarnation) {
  return {node, "z", {"127.0.0.1", 7000}, incarnation, false};
}

// Store with one key. Until `Heal`, calls fail at random, responses are lost, and swaps are delayed
// until `ExecuteDelayed`.
class FakeStore {
 public:
  explicit FakeStore(std::uint64_t seed) : random_(seed) {}

  absl::StatusOr<StoredRoster> Read() {
    ++reads;
    if (faults_ && random_.Below(5) == 0) return absl::UnavailableError("down");
    return stored_;
  }
  SwapResult Swap(const SwapRoster& swap) {
    ++writes;
    std::uint64_t fault = faults_ ? random_.Below(6) : 5;
    if (fault == 0) return SwapResult::kUnknown;
    if (fault == 1) {
      delayed_.push_back(swap);
      return SwapResult::kUnknown;
    }
    bool done = Execute(swap);
    if (fault == 2) return SwapResult::kUnknown;
    return done ? SwapResult::kDone : SwapResult::kConflict;
  }
  void ExecuteDelayed() {
    if (delayed_.empty()) return;
    Execute(delayed_.back());
    delayed_.pop_back();
  }
  void Heal() { faults_ = false; }

  int reads = 0;
  int writes = 0;

  Roster StoredEntries() const {
    return stored_.version == 0 ? Roster{} : DecodeRoster(stored_.value).value();
  }

 private:
  bool Execute(const SwapRoster& swap) {
    if (swap.version != stored_.version) return false;
    // The handover of shares relies on totally ordered revisions.
    REQUIRE(swap.roster.revision > StoredEntries().revision);
    stored_ = {stored_.version + 1, EncodeRoster(swap.roster)};
    return true;
  }

  Random random_;
  StoredRoster stored_;
  std::vector<SwapRoster> delayed_;
  bool faults_ = true;
};

struct UpdaterProcess {
  explicit UpdaterProcess(const RosterEntry& entry)
      : UpdaterProcess(RosterUpdaterOptions{.self = entry}) {}
  explicit UpdaterProcess(const RosterUpdaterOptions& options) : updater(options) {}
  RosterUpdater updater;
  std::vector<RosterAction> open;
  std::optional<LocalEntryOutcome> outcome;

  void Add(RosterUpdater::Actions actions) {
    for (RosterAction& action : actions) {
      if (const auto* decided = std::get_if<LocalEntryUpdated>(&action)) {
        outcome = decided->outcome;
      } else if (!std::holds_alternative<SetRosterTimer>(action)) {
        open.push_back(std::move(action));
      }
    }
  }
  void Step(FakeStore& store, TimePoint now) {
    Add(updater.OnTimer(now));
    if (open.empty()) return;
    RosterAction action = open.front();
    open.erase(open.begin());
    if (std::holds_alternative<ReadRoster>(action)) {
      Add(updater.OnRead(store.Read(), now));
    } else {
      Add(updater.OnSwapped(store.Swap(std::get<SwapRoster>(action)), now));
    }
  }
};

TEST_CASE("entries survive conflicts, lost responses and delayed swaps") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    FakeStore store(seed + 1000);
    TimePoint now = kNow;
    std::vector<std::unique_ptr<UpdaterProcess>> nodes;
    for (int i = 0; i < 5; ++i) {
      nodes.push_back(std::make_unique<UpdaterProcess>(MakeEntry(fmt::format("n{}", i), 1)));
      nodes.back()->Add(nodes.back()->updater.Join(now));
    }
    std::set<int> restarted;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(random.Below(300));
      auto node = static_cast<int>(random.Below(5));
      nodes[node]->Step(store, now);
      if (random.Below(40) == 0) store.ExecuteDelayed();
      if (step == 150 || step == 200) {
        // Restarts the node while its predecessor may have a swap in progress.
        bool had_entry = store.StoredEntries().Find(fmt::format("n{}", node)) != nullptr;
        if (had_entry) restarted.insert(node);
        auto incarnation = static_cast<Incarnation>(step);
        nodes[node] =
            std::make_unique<UpdaterProcess>(MakeEntry(fmt::format("n{}", node), incarnation));
        nodes[node]->Add(nodes[node]->updater.Join(now));
      }
    }
    // Node 4 leaves.
    nodes[4]->Add(nodes[4]->updater.MarkLeaving(now));
    nodes[4]->Add(nodes[4]->updater.Leave(now));
    store.Heal();
    for (int step = 0; step < 200; ++step) {
      now += seconds(1);
      nodes[step % 5]->Step(store, now);
    }
    REQUIRE(store.StoredEntries().node_entries.size() == 4);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(store.StoredEntries().Find(fmt::format("n{}", i)) != nullptr);
      // A restart mistaken for a first start would use its shares while earlier calls still run.
      LocalEntryOutcome expected =
          restarted.contains(i) ? LocalEntryOutcome::kReplaced : LocalEntryOutcome::kAdded;
      if (restarted.contains(i)) REQUIRE(nodes[i]->outcome == expected);
      REQUIRE(nodes[i]->outcome.has_value());
    }
    REQUIRE(nodes[4]->outcome == LocalEntryOutcome::kRemoved);
  }
}

TEST_CASE("an entry is removed once VM list and membership agree for the longest call") {
  Roster roster{3, {MakeEntry("a", 1), MakeEntry("b", 1), MakeEntry("self", 1)}};
  RosterUpdaterOptions options{.self = MakeEntry("self", 1)};
  options.reader_delay = {};
  options.longest_call = seconds(60);
  RosterUpdater updater(options);
  auto list = [&](std::set<NodeName> vms, std::set<NodeName> dead, seconds at) {
    return !updater.OnVmList(vms, roster, dead, kNow + at).empty();
  };
  // The list lags behind: b is missing temporarily.
  CHECK_FALSE(list({"a"}, {"b"}, seconds(0)));
  CHECK_FALSE(list({"a", "b"}, {"b"}, seconds(30)));
  CHECK_FALSE(list({"a"}, {"b"}, seconds(61)));
  // An empty list is ignored as a fault of the platform.
  CHECK_FALSE(list({}, {"a", "b"}, seconds(120)));
  // The node is a live member.
  CHECK_FALSE(list({"a"}, {}, seconds(122)));
  // The VM has been missing for long, but the node has been dead for less than the longest call.
  CHECK_FALSE(list({"a"}, {"b"}, seconds(122)));
  CHECK_FALSE(list({"a"}, {"b"}, seconds(122 + 59)));
  CHECK_FALSE(list({"a"}, {}, seconds(122 + 60)));
  // A restart under the same name starts the observation over.
  CHECK_FALSE(list({"a"}, {"b"}, seconds(200)));
  roster.node_entries[1].incarnation = 2;
  CHECK_FALSE(list({"a"}, {"b"}, seconds(223)));
  CHECK_FALSE(list({"a"}, {"b"}, seconds(282)));
  CHECK(list({"a"}, {"b"}, seconds(283)));
  StoredRoster stored{7, EncodeRoster(roster)};
  RosterUpdater::Actions actions = updater.OnRead(stored, kNow + seconds(283));
  REQUIRE(actions.size() == 1);
  const auto& swap = std::get<SwapRoster>(actions[0]);
  CHECK(swap.version == 7);
  CHECK(swap.roster.revision == 4);
  CHECK(swap.roster.Find("b") == nullptr);
  CHECK(swap.roster.node_entries.size() == 2);
}

TEST_CASE("a process whose entry belongs to a later process is superseded") {
  RosterUpdaterOptions options{.self = MakeEntry("a", 4)};
  options.join_delay = {};
  RosterUpdater updater(options);
  updater.Join(kNow);
  StoredRoster stored{2, EncodeRoster({0, {MakeEntry("a", 5)}})};
  RosterUpdater::Actions actions = updater.OnRead(stored, kNow);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<LocalEntryUpdated>(actions[0]).outcome == LocalEntryOutcome::kSuperseded);
  CHECK(updater.Join(kNow).empty());
}

TEST_CASE("a process whose entry a reader adds is notified of its predecessor") {
  for (bool had_predecessor : {false, true}) {
    RosterUpdater updater(RosterUpdaterOptions{.self = MakeEntry("a", 4)});
    updater.Join(kNow);
    RosterEntry entry = MakeEntry("a", 4);
    entry.had_predecessor = had_predecessor;
    RosterUpdater::Actions actions = updater.OnRoster({3, {entry}}, kNow);
    REQUIRE(actions.size() == 1);
    LocalEntryOutcome expected =
        had_predecessor ? LocalEntryOutcome::kReplaced : LocalEntryOutcome::kAdded;
    CHECK(std::get<LocalEntryUpdated>(actions[0]).outcome == expected);
    // The write of the process itself, which was due later, is dropped.
    CHECK(updater.OnTimer(kNow + seconds(100)).empty());
  }
}

TEST_CASE("a reader adds live members, but not one that has just removed its entry") {
  RosterUpdaterOptions options{.self = MakeEntry("r", 1)};
  options.reader_delay = {};
  options.join_delay = {};
  RosterUpdater updater(options);
  updater.Join(kNow);
  StoredRoster stored{4, EncodeRoster({5, {MakeEntry("left", 7), MakeEntry("old", 1)}})};
  RosterUpdater::Actions actions = updater.OnRead(stored, kNow);
  REQUIRE(actions.size() == 1);
  updater.OnSwapped(SwapResult::kDone, kNow);
  updater.OnRoster({7, {MakeEntry("old", 1), MakeEntry("r", 1)}}, kNow);
  CHECK(updater.OnMembers(true, {MakeEntry("left", 7), MakeEntry("old", 1)}, kNow).empty());
  std::vector<RosterEntry> live{MakeEntry("left", 7), MakeEntry("new", 1), MakeEntry("old", 2)};
  CHECK(updater.OnMembers(true, live, kNow).size() == 1);
  stored = {6, EncodeRoster({7, {MakeEntry("old", 1), MakeEntry("r", 1)}})};
  actions = updater.OnRead(stored, kNow);
  REQUIRE(actions.size() == 1);
  const Roster& roster = std::get<SwapRoster>(actions[0]).roster;
  CHECK(roster.node_entries.size() == 3);
  REQUIRE(roster.Find("new") != nullptr);
  CHECK_FALSE(roster.Find("new")->had_predecessor);
  CHECK(roster.Find("old")->incarnation == 2);
  CHECK(roster.Find("old")->had_predecessor);
}

// Cost of a cold start until the last node has its entry.
struct ColdStart {
  int reads = 0;
  int writes = 0;
  int max_writes_per_second = 0;
  Duration elapsed{};
};

// Simulates nodes that start within one second, with a store that takes 10 ms per call. Each node
// knows all members `known_after` its start.
ColdStart RunColdStart(int size, Duration known_after, bool receives_rosters) {
  constexpr std::chrono::milliseconds kStep{10};
  Random random(7);
  FakeStore store(1);
  store.Heal();
  std::vector<std::unique_ptr<UpdaterProcess>> nodes;
  std::vector<RosterEntry> entries;
  std::vector<TimePoint> starts;
  for (int i = 0; i < size; ++i) {
    entries.push_back(MakeEntry(fmt::format("n{:04}", i), 1));
    RosterUpdaterOptions options{.self = entries.back(), .seed = static_cast<std::uint64_t>(i)};
    nodes.push_back(std::make_unique<UpdaterProcess>(options));
    starts.push_back(kNow + std::chrono::milliseconds(random.Below(1000)));
  }
  ColdStart result;
  int writes_before = 0;
  for (int step = 0; step < 60'000; ++step) {
    TimePoint now = kNow + step * kStep;
    if (step % 100 == 0) writes_before = store.writes;
    int decided = 0;
    for (int i = 0; i < size; ++i) {
      UpdaterProcess& node = *nodes[i];
      if (now < starts[i]) continue;
      if (now < starts[i] + kStep) node.Add(node.updater.Join(now));
      if (node.outcome) ++decided;
      bool knows = now - starts[i] >= known_after;
      // As `RosterMaintainer` does, every 500 ms. The first two nodes are the readers.
      if ((step + i) % 50 == 0) {
        if (receives_rosters) node.Add(node.updater.OnRoster(store.StoredEntries(), now));
        std::vector<RosterEntry> live = knows ? entries : std::vector<RosterEntry>{};
        if (knows) live.erase(live.begin() + i);
        node.Add(node.updater.OnMembers(!knows || i < 2, live, now));
      }
      node.Step(store, now);
    }
    result.max_writes_per_second =
        std::max(result.max_writes_per_second, store.writes - writes_before);
    if (decided == size) {
      result.elapsed = now - kNow;
      break;
    }
  }
  result.reads = store.reads;
  result.writes = store.writes;
  CHECK(store.StoredEntries().node_entries.size() == static_cast<std::size_t>(size));
  MESSAGE(
      fmt::format("{} nodes: {} reads, {} writes, at most {} writes/s, {} ms", size, result.reads,
                  result.writes, result.max_writes_per_second,
                  std::chrono::duration_cast<std::chrono::milliseconds>(result.elapsed).count()));
  return result;
}

TEST_CASE("a fleet that starts at once gets its entries with few writes") {
  // One write per node, retried on conflicts, would take thousands of calls.
  ColdStart start = RunColdStart(200, std::chrono::milliseconds(400), true);
  CHECK(start.writes <= 20);
  CHECK(start.reads <= 40);
  CHECK(start.elapsed > Duration::zero());
  CHECK(start.elapsed <= seconds(5));
}

TEST_CASE("without members and announcements, a fleet still joins within the limits of the store") {
  // Each node takes itself for a reader, so all writes conflict with each other.
  ColdStart start = RunColdStart(200, std::chrono::hours(1), false);
  CHECK(start.max_writes_per_second <= 300);
  CHECK(start.elapsed > Duration::zero());
  CHECK(start.elapsed <= seconds(120));
}

TEST_CASE("a roster of the target size stays well below the limit of the store") {
  Roster roster{123'456, {}};
  for (int i = 0; i < 7600; ++i) {
    roster.node_entries.push_back({fmt::format("entry-vestland-a-{:06}", i * 37),
                                   fmt::format("vestland-{}", i % 5),
                                   {fmt::format("fd00::{:x}:{:x}", i / 250 + 1, i % 250 + 1), 7000},
                                   1'764'820'000'000'000ULL + i,
                                   i % 7 == 0,
                                   i % 3 == 0});
  }
  std::string bytes = EncodeRoster(roster);
  MESSAGE(fmt::format("{} bytes for 7,600 entries with IPv6 addresses", bytes.size()));
  CHECK(bytes.size() < 300'000);
  CHECK(DecodeRoster(bytes).value() == roster);
}

TEST_CASE("encoded rosters round-trip, and malformed ones are rejected") {
  Roster roster{9, {MakeEntry("a", 1), {"b", "y", {"::1", 1}, ~0ULL, true, true}}};
  std::string valid = EncodeRoster(roster);
  CHECK(DecodeRoster(valid).value() == roster);
  // Byte positions: byte order 0, format 1, revision 5, zones 13 (1 + "y", 1 + "z"), entries 18,
  // entry "a" 22: shared 22, size 23, name 24, zone 25, flags 26, port 27, incarnation 29,
  // address 37; entry "b" 41.
  auto changed = [&valid](std::size_t position, char value) {
    std::string text = valid;
    REQUIRE(position < text.size());
    text[position] = value;
    return text;
  };
  REQUIRE(valid[24] == 'a');
  REQUIRE(valid[43] == 'b');
  for (const std::string& text : {
           std::string(),
           std::string("[]"),
           std::string(100'000, '['),
           changed(0, 0),                           // Big endian.
           changed(1, 'x'),                         // Another format.
           changed(14, 0),                          // Empty zone name.
           changed(18, 3),                          // More entries than follow.
           changed(18, 1),                          // Bytes follow the last entry.
           changed(20, 1),                          // Exceeds `kMaxRosterEntries`.
           changed(22, 1),                          // Shared prefix longer than the previous name.
           changed(23, 0),                          // Empty name.
           changed(23, 65),                         // Name too long.
           changed(25, 2),                          // No such zone.
           changed(26, 8),                          // Unknown flag.
           changed(27, 0).replace(28, 1, 1, '\0'),  // Port 0.
           changed(43, 'a'),                        // Duplicate name.
           changed(43, 'A'),                        // Not sorted.
           valid + "x",
       }) {
    CHECK_FALSE(DecodeRoster(text).ok());
  }
  for (std::size_t length = 0; length < valid.size(); ++length) {
    CHECK_FALSE(DecodeRoster(valid.substr(0, length)).ok());
  }
  CHECK_FALSE(IsEncodable({"", "z", {"127.0.0.1", 1}, 1}));
  CHECK_FALSE(IsEncodable({"a", "z", {"localhost", 1}, 1}));
  CHECK_FALSE(IsEncodable({"a", "z", {"127.0.0.1", 0}, 1}));
}

}  // namespace
}  // namespace damaskroute
