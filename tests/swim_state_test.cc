#include "damaskroute/membership/swim_state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "tests/swim_network.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Returns a cluster whose members have all joined.
SwimNetwork JoinedCluster(std::size_t size, std::uint64_t seed = 1, SwimOptions options = {}) {
  SwimNetwork network(seed);
  for (std::size_t i = 0; i < size; ++i) network.Add(i, 1, options);
  network.RunUntil([&] { return network.AllSeeAllAlive(); }, minutes(2));
  REQUIRE(network.AllSeeAllAlive());
  network.Run(seconds(10));
  return network;
}

// Whether any running node assigns the state to the subject.
bool AnySees(const SwimNetwork& network, std::size_t subject, MemberState state) {
  for (std::size_t i = 0; i < network.nodes.size(); ++i) {
    if (i != subject && network.nodes[i].running && network.StateAt(i, subject) == state) {
      return true;
    }
  }
  return false;
}

// Whether all running nodes assign the state to the subject.
bool AllSee(const SwimNetwork& network, std::size_t subject, MemberState state) {
  for (std::size_t i = 0; i < network.nodes.size(); ++i) {
    if (i != subject && network.nodes[i].running && network.StateAt(i, subject) != state) {
      return false;
    }
  }
  return true;
}

TEST_CASE("the latest update wins in any order of arrival, so an old message has no effect") {
  Member alive{"b", "z", {"127.0.0.1", 2}, 5, 0, MemberState::kAlive};
  auto with = [&](Incarnation incarnation, std::uint32_t refutation, MemberState state) {
    Member member = alive;
    member.incarnation = incarnation;
    member.refutation = refutation;
    member.state = state;
    return member;
  };
  std::vector<Member> ascending{alive,
                                with(5, 0, MemberState::kSuspect),
                                with(5, 1, MemberState::kAlive),
                                with(5, 1, MemberState::kSuspect),
                                with(5, 1, MemberState::kDead),
                                with(5, 2, MemberState::kAlive),
                                with(5, 2, MemberState::kLeft),
                                with(6, 0, MemberState::kAlive)};
  std::vector<std::size_t> order{0, 1, 2, 3, 4, 5, 6, 7};
  do {
    if (order[0] % 3 != 0) continue;  // A third of the 40,320 orders.
    SwimState state({"a", "z", {"127.0.0.1", 1}, 1, 0, MemberState::kAlive}, {}, 1);
    ManualClock clock;
    state.Start(clock.Now(), {});
    std::size_t greatest = 0;
    for (std::size_t i : order) {
      PeerDatagram datagram{};
      datagram.kind = DatagramKind::kAck;
      datagram.sender = ascending[0];
      datagram.updates = {ascending[i]};
      state.OnDatagram(clock.Now(), datagram);
      greatest = std::max(greatest, i);
      if (*state.Find("b") != ascending[greatest]) FAIL("an older update has won");
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a crashed member is suspected and then dead everywhere within the detection time") {
  for (std::size_t size : {4, 16, 64}) {
    SwimNetwork network = JoinedCluster(size, size);
    network.nodes[size - 1].running = false;
    Duration suspected = network.RunUntil(
        [&] { return !AnySees(network, size - 1, MemberState::kAlive); }, seconds(20));
    Duration dead =
        suspected + network.RunUntil([&] { return AllSee(network, size - 1, MemberState::kDead); },
                                     seconds(20));
    MESSAGE(size << " nodes: suspected by all after "
                 << duration_cast<milliseconds>(suspected).count()
                 << " ms, declared dead by all after " << duration_cast<milliseconds>(dead).count()
                 << " ms");
    CHECK(dead < seconds(7));
    CHECK(network.CountPairs(MemberState::kAlive) == (size - 1) * (size - 2));
  }
}

TEST_CASE("loss, duplication and reordering cause no false death") {
  SwimNetwork network = JoinedCluster(32);
  network.loss = 0.1;
  network.duplication = 0.1;
  network.jitter = milliseconds(60);
  std::size_t dead = 0;
  for (int i = 0; i < 60; ++i) {
    network.Run(seconds(1));
    dead += network.CountPairs(MemberState::kDead);
  }
  CHECK(dead == 0);
}

TEST_CASE("indirect probes keep a member alive that is unreachable from a single node") {
  SwimNetwork network = JoinedCluster(8);
  network.connected = [](std::size_t from, std::size_t to) {
    return !(from == 1 && to == 2) && !(from == 2 && to == 1);
  };
  std::size_t not_alive = 0;
  for (int i = 0; i < 30; ++i) {
    network.Run(seconds(1));
    not_alive += !network.AllSeeAllAlive();
  }
  CHECK(not_alive == 0);
}

TEST_CASE("a resumed process declares no member dead and becomes alive again") {
  SwimNetwork network = JoinedCluster(16);
  for (Duration pause : {Duration(seconds(1)), Duration(seconds(30))}) {
    network.nodes[3].paused = true;
    network.Run(pause);
    network.Resume(3);
    std::size_t dead = 0;
    for (int i = 0; i < 100; ++i) {
      network.Run(milliseconds(50));
      for (std::size_t other = 0; other < 16; ++other) {
        dead += other != 3 && network.StateAt(3, other) == MemberState::kDead;
      }
    }
    CHECK(dead == 0);
    CHECK(network.AllSeeAllAlive());
  }
}

TEST_CASE("a member that leaves is marked as left, and its restart is a new member") {
  SwimNetwork network = JoinedCluster(16);
  for (const SwimAction& action : network.nodes[5].state->Leave(network.clock.Now())) {
    const auto& send = std::get<SendDatagram>(action);
    network.nodes[send.to.port - 1000].state->OnDatagram(network.clock.Now(), send.datagram);
  }
  network.nodes[5].running = false;
  CHECK(network.RunUntil([&] { return AllSee(network, 5, MemberState::kLeft); }, seconds(20)) <
        seconds(5));
  network.Add(5, 2);
  CHECK(network.RunUntil([&] { return network.AllSeeAllAlive(); }, seconds(20)) < seconds(5));
}

TEST_CASE("a process is notified that a successor runs under the same name") {
  SwimNetwork network = JoinedCluster(4);
  network.Add(3, 5);
  network.Run(seconds(5));
  network.Add(3, 4);
  network.Run(seconds(5));
  REQUIRE_FALSE(network.nodes[3].superseded.empty());
  CHECK(network.nodes[3].superseded[0] == 5);
}

TEST_CASE("both sides of a partition declare each other dead and merge after it heals") {
  SwimNetwork network = JoinedCluster(30);
  network.connected = [](std::size_t from, std::size_t to) { return (from < 10) == (to < 10); };
  network.Run(minutes(2));
  CHECK(network.CountPairs(MemberState::kDead) == 2 * 10 * 20);
  CHECK(network.CountPairs(MemberState::kAlive) == 10 * 9 + 20 * 19);
  network.connected = [](auto, auto) { return true; };
  Duration healed = network.RunUntil([&] { return network.AllSeeAllAlive(); }, minutes(2));
  MESSAGE("healed after " << duration_cast<milliseconds>(healed).count() << " ms");
  CHECK(healed < seconds(30));
}

TEST_CASE("the table and the datagrams stay within their limits when flooded with member names") {
  SwimOptions options;
  options.max_members = 10;
  SwimState state({"a", "z", {"127.0.0.1", 1}, 1, 0, MemberState::kAlive}, options, 1);
  ManualClock clock;
  state.Start(clock.Now(), {});
  for (int i = 0; i < 1000; ++i) {
    PeerDatagram datagram{};
    datagram.sender = {std::string(100, 'x') + std::to_string(i),
                       "z",
                       {"127.0.0.1", 2},
                       1,
                       0,
                       i % 2 == 0 ? MemberState::kAlive : MemberState::kDead};
    for (const SwimAction& action : state.OnDatagram(clock.Now(), datagram)) {
      const auto* send = std::get_if<SendDatagram>(&action);
      if (send != nullptr) CHECK(DatagramSize(send->datagram) <= kMaxDatagramSize);
    }
  }
  CHECK(state.LiveCount() == 11);
  CHECK(state.FullState().size() == 21);
}

TEST_CASE("an update reaches all nodes in a logarithmic number of probe periods") {
  for (std::size_t size : {64, 256}) {
    SwimNetwork network = JoinedCluster(size, size);
    network.Run(seconds(120));  // Until the updates of the joins have left the queues.
    network.loss = 0.05;
    for (auto& node : network.nodes) node.bytes_sent = 0;
    TimePoint start = network.clock.Now();
    network.Add(size);
    Duration elapsed =
        network.RunUntil([&] { return AllSee(network, size, MemberState::kAlive); }, seconds(60));
    network.Run(seconds(20));
    std::uint64_t bytes = 0;
    for (const auto& node : network.nodes) bytes += node.bytes_sent;
    double periods = static_cast<double>(elapsed / milliseconds(10)) / 50;
    double rate = static_cast<double>(bytes) / static_cast<double>(size) /
                  std::chrono::duration<double>(network.clock.Now() - start).count();
    MESSAGE(size << " nodes, 5% loss: a new member is known to all after " << periods
                 << " periods, " << rate << " bytes/s sent per node");
    CHECK(periods <= 1.5 * std::log2(static_cast<double>(size)));
    CHECK(rate < 2000);
  }
}

}  // namespace
}  // namespace damaskroute
