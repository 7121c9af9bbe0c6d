#include "damaskroute/roster/roster_updater.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <optional>

#include "damaskroute/core/random.h"
#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {
namespace {

using std::chrono::seconds;
constexpr TimePoint kNow{std::chrono::hours(1)};

Seat MakeSeat(const NodeName& node, Incarnation incarnation) {
  return {node, "z", {"127.0.0.1", 7000}, incarnation, false};
}

// Store with one key and a fault for each call; a swap may also take effect long after it.
class FakeStore {
 public:
  explicit FakeStore(std::uint64_t seed) : random_(seed) {}

  absl::StatusOr<StoredSeats> Read() {
    if (faults_ && random_.Below(5) == 0) return absl::UnavailableError("down");
    return stored_;
  }
  SwapResult Swap(const SwapZoneSeats& swap) {
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
  Roster Seats() const {
    return stored_.version == 0 ? Roster{} : DecodeRoster(stored_.value).value();
  }

 private:
  bool Execute(const SwapZoneSeats& swap) {
    if (swap.version != stored_.version) return false;
    stored_ = {stored_.version + 1, swap.value};
    return true;
  }

  Random random_;
  StoredSeats stored_;
  std::vector<SwapZoneSeats> delayed_;
  bool faults_ = true;
};

struct Process {
  explicit Process(const Seat& seat) : updater(RosterUpdaterOptions{.self = seat}) {}
  RosterUpdater updater;
  std::vector<RosterAction> open;
  std::optional<SeatOutcome> outcome;

  void Add(RosterUpdater::Actions actions) {
    for (RosterAction& action : actions) {
      if (const auto* decided = std::get_if<SeatDecided>(&action)) {
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
    if (const auto* read = std::get_if<ReadZoneSeats>(&action)) {
      Add(updater.OnRead(read->zone, store.Read(), now));
    } else {
      const auto& swap = std::get<SwapZoneSeats>(action);
      Add(updater.OnSwapped(swap.zone, store.Swap(swap), now));
    }
  }
};

TEST_CASE("seats survive conflicts, lost answers and delayed swaps") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    FakeStore store(seed + 1000);
    TimePoint now = kNow;
    std::vector<std::unique_ptr<Process>> nodes;
    for (int i = 0; i < 5; ++i) {
      nodes.push_back(std::make_unique<Process>(MakeSeat(fmt::format("n{}", i), 1)));
      nodes.back()->Add(nodes.back()->updater.Join(now));
    }
    std::set<int> restarted;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(random.Below(300));
      auto node = static_cast<int>(random.Below(5));
      nodes[node]->Step(store, now);
      if (random.Below(40) == 0) store.ExecuteDelayed();
      if (step == 150 || step == 200) {
        // A restart whose predecessor may have an open swap.
        bool had_seat = store.Seats().Find(fmt::format("n{}", node)) != nullptr;
        if (had_seat) restarted.insert(node);
        auto incarnation = static_cast<Incarnation>(step);
        nodes[node] = std::make_unique<Process>(MakeSeat(fmt::format("n{}", node), incarnation));
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
    REQUIRE(store.Seats().seats.size() == 4);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(store.Seats().Find(fmt::format("n{}", i)) != nullptr);
      // Taking a restart for a first start would use shares while old calls run.
      SeatOutcome expected = restarted.contains(i) ? SeatOutcome::kRenewed : SeatOutcome::kAdded;
      if (restarted.contains(i)) REQUIRE(nodes[i]->outcome == expected);
      REQUIRE(nodes[i]->outcome.has_value());
    }
    REQUIRE(nodes[4]->outcome == SeatOutcome::kRemoved);
  }
}

TEST_CASE("a seat is removed only when lists and membership agree for the longest call") {
  Roster roster{3, {MakeSeat("a", 1), MakeSeat("b", 1), MakeSeat("self", 1)}};
  RosterUpdater updater(RosterUpdaterOptions{.self = MakeSeat("self", 1)});
  auto list = [&](std::set<NodeName> vms, std::set<NodeName> dead, seconds at) {
    return !updater.OnVmList(vms, roster, dead, kNow + at).empty();
  };
  // The list lags: b is missing for a moment.
  CHECK_FALSE(list({"a"}, {"b"}, seconds(0)));
  CHECK_FALSE(list({"a", "b"}, {"b"}, seconds(30)));
  CHECK_FALSE(list({"a"}, {"b"}, seconds(61)));
  // An empty list is a fault of the platform.
  CHECK_FALSE(list({}, {"a", "b"}, seconds(120)));
  // Membership hears from it.
  CHECK_FALSE(list({"a"}, {}, seconds(122)));
  // A restart under the same name starts over.
  roster.seats[1].incarnation = 2;
  CHECK_FALSE(list({"a"}, {"b"}, seconds(123)));
  CHECK_FALSE(list({"a"}, {"b"}, seconds(182)));
  CHECK(list({"a"}, {"b"}, seconds(183)));
  StoredSeats stored{7, EncodeRoster(roster)};
  RosterUpdater::Actions actions = updater.OnRead("z", stored, kNow + seconds(183));
  REQUIRE(actions.size() == 1);
  const auto& swap = std::get<SwapZoneSeats>(actions[0]);
  CHECK(swap.version == 7);
  CHECK(DecodeRoster(swap.value)->Find("b") == nullptr);
  CHECK(DecodeRoster(swap.value)->seats.size() == 2);
}

TEST_CASE("a process whose seat belongs to a later one gives up") {
  RosterUpdater updater(RosterUpdaterOptions{.self = MakeSeat("a", 4)});
  updater.Join(kNow);
  StoredSeats stored{2, EncodeRoster({0, {MakeSeat("a", 5)}})};
  RosterUpdater::Actions actions = updater.OnRead("z", stored, kNow);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SeatDecided>(actions[0]).outcome == SeatOutcome::kSuperseded);
  CHECK(updater.Join(kNow).empty());
}

TEST_CASE("a roster is made only of values that were in force at the same time") {
  StoredSeats x{2, EncodeRoster({0, {MakeSeat("b", 1)}})};
  StoredSeats y{5, EncodeRoster({0, {MakeSeat("a", 1)}})};
  StoredSeats none;
  Roster roster = CombineZoneSeats({x, y, none}, {x, y, none}).value();
  CHECK(roster.revision == 7);
  CHECK(roster == Roster{7, {MakeSeat("a", 1), MakeSeat("b", 1)}});
  StoredSeats later = y;
  ++later.version;
  CHECK(absl::IsAborted(CombineZoneSeats({x, y}, {x, later}).status()));
  CHECK_FALSE(CombineZoneSeats({x, x}, {x, x}).ok());
}

TEST_CASE("encoded rosters are read back, anything else is refused") {
  Roster roster{9, {MakeSeat("a", 1), {"b", "y", {"::1", 1}, ~0ULL, true}}};
  CHECK(DecodeRoster(EncodeRoster(roster)).value() == roster);
  const char* seat = R"(["a","z","127.0.0.1:1",1,false])";
  for (const std::string& text : {
           std::string(),
           std::string("[]"),
           std::string("{}"),
           std::string(100'000, '['),
           std::string(R"({"revision":-1,"seats":[]})"),
           std::string(R"({"revision":1,"seats":{}})"),
           fmt::format(R"({{"revision":1,"seats":[{},{}]}})", seat, seat),
           std::string(R"({"revision":1,"seats":[["","z","127.0.0.1:1",1,false]]})"),
           std::string(R"({"revision":1,"seats":[["a","z","localhost:1",1,false]]})"),
           std::string(R"({"revision":1,"seats":[["a","z","127.0.0.1:1",1]]})"),
       }) {
    CHECK_FALSE(DecodeRoster(text).ok());
  }
  std::string valid = EncodeRoster(roster);
  for (std::size_t length = 0; length < valid.size(); ++length) {
    CHECK_FALSE(DecodeRoster(valid.substr(0, length)).ok());
  }
}

}  // namespace
}  // namespace damaskroute
