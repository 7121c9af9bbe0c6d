#ifndef DAMASKROUTE_TESTS_SWIM_NETWORK_H_
#define DAMASKROUTE_TESTS_SWIM_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/membership/swim_state.h"
#include "damaskroute/peer/datagram_codec.h"
#include "fmt/format.h"

namespace damaskroute {

/// Simulates a cluster of `SwimState`s on an in-memory network with loss, delay, duplication,
/// partitions and paused processes, under a manual clock.
class SwimNetwork {
 public:
  struct Node {
    std::unique_ptr<SwimState> state;
    std::vector<PeerDatagram> inbox;  // Received while paused.
    std::vector<Incarnation> superseded;
    bool running = true;
    bool paused = false;
    std::uint64_t bytes_sent = 0;
    std::uint64_t greatest_datagram = 0;
  };

  explicit SwimNetwork(std::uint64_t seed) : random_(seed) {}

  static Endpoint Address(std::size_t index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
  }
  static NodeName Name(std::size_t index) { return fmt::format("node-{}", index); }

  void Add(std::size_t index, Incarnation incarnation = 1, SwimOptions options = {}) {
    if (nodes.size() <= index) nodes.resize(index + 1);
    Member self{
        Name(index),        fmt::format("zone-{}", index % 3), Address(index), incarnation, 0,
        MemberState::kAlive};
    nodes[index] = Node{};
    nodes[index].state = std::make_unique<SwimState>(self, options, random_.Next());
    Execute(index, nodes[index].state->Start(clock.Now(), {Address(0), Address(1)}));
  }

  void Run(Duration span) {
    TimePoint end = clock.Now() + span;
    while (clock.Now() < end) Step();
  }

  /// Checks the condition every 50 ms until it holds; returns the elapsed time, or `limit`.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit) {
    TimePoint start = clock.Now();
    while (!condition() && clock.Now() - start < limit) Run(std::chrono::milliseconds(50));
    return clock.Now() - start;
  }

  void Resume(std::size_t index) {
    nodes[index].paused = false;
    for (const PeerDatagram& datagram : std::exchange(nodes[index].inbox, {})) {
      // Timers run before the backlog is read, which is the worst case.
      Execute(index, nodes[index].state->OnTimer(clock.Now()));
      Execute(index, nodes[index].state->OnDatagram(clock.Now(), datagram));
    }
  }

  MemberState StateAt(std::size_t observer, std::size_t subject) const {
    const Member* member = nodes[observer].state->Find(Name(subject));
    return member == nullptr ? MemberState::kLeft : member->state;
  }

  /// Number of pairs of running nodes in which the first assigns `state` to the second.
  std::size_t CountPairs(MemberState state) const {
    std::size_t count = 0;
    for (std::size_t a = 0; a < nodes.size(); ++a) {
      for (std::size_t b = 0; b < nodes.size(); ++b) {
        count += a != b && nodes[a].running && nodes[b].running && StateAt(a, b) == state;
      }
    }
    return count;
  }

  bool AllSeeAllAlive() const {
    std::size_t running = 0;
    for (const Node& node : nodes) running += node.running;
    return CountPairs(MemberState::kAlive) == running * (running - 1);
  }

  ManualClock clock;
  std::vector<Node> nodes;
  double loss = 0;
  double duplication = 0;
  Duration delay = std::chrono::milliseconds(1);
  Duration jitter = std::chrono::milliseconds(4);  // Reorders datagrams.
  std::function<bool(std::size_t, std::size_t)> connected = [](auto, auto) { return true; };

 private:
  void Step() {
    clock.Advance(std::chrono::milliseconds(10));
    while (!in_flight_.empty() && in_flight_.begin()->first <= clock.Now()) {
      std::function<void()> deliver = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      deliver();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      if (!node.state || !node.running || node.paused) continue;
      if (node.state->NextTimer() <= clock.Now()) Execute(i, node.state->OnTimer(clock.Now()));
    }
  }

  void Execute(std::size_t from, const SwimActions& actions) {
    for (const SwimAction& action : actions) {
      if (const auto* send = std::get_if<SendDatagram>(&action)) {
        nodes[from].bytes_sent += DatagramSize(send->datagram);
        nodes[from].greatest_datagram =
            std::max<std::uint64_t>(nodes[from].greatest_datagram, DatagramSize(send->datagram));
        std::size_t to = send->to.port - 1000;
        int deliveries = random_.NextDouble() < loss          ? 0
                         : random_.NextDouble() < duplication ? 2
                                                              : 1;
        for (; deliveries > 0; --deliveries) {
          Deliver(from, to, [this, to, datagram = send->datagram] {
            if (nodes[to].paused) return nodes[to].inbox.push_back(datagram);
            Execute(to, nodes[to].state->OnDatagram(clock.Now(), datagram));
          });
        }
      } else if (const auto* pull = std::get_if<PullMembers>(&action)) {
        std::size_t to = pull->from.port - 1000;
        Deliver(from, to, [this, from, to, self = nodes[from].state->self()] {
          if (nodes[to].paused) return;
          Execute(to, nodes[to].state->OnMembersPull(clock.Now(), self));
          Deliver(to, from, [this, from, members = nodes[to].state->FullState()] {
            Execute(from, nodes[from].state->OnMembersData(clock.Now(), members));
          });
        });
      } else if (const auto* superseded = std::get_if<SelfSuperseded>(&action)) {
        nodes[from].superseded.push_back(superseded->incarnation);
      }
    }
  }

  void Deliver(std::size_t from, std::size_t to, std::function<void()> deliver) {
    Duration wait = delay + jitter * static_cast<int>(random_.Below(100)) / 100;
    in_flight_.emplace(clock.Now() + wait, [this, from, to, deliver = std::move(deliver)] {
      if (to < nodes.size() && nodes[to].state && nodes[to].running && connected(from, to)) {
        deliver();
      }
    });
  }

  Random random_;
  std::multimap<TimePoint, std::function<void()>> in_flight_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_SWIM_NETWORK_H_
