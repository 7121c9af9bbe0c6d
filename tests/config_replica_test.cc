#include "damaskroute/dissemination/config_replica.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/core/hash.h"
#include "damaskroute/dissemination/config_reader.h"
#include "damaskroute/dissemination/document_delta.h"
#include "damaskroute/peer/message_codec.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint Address(std::size_t index) {
  return {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
}

// Returns a document of about 20 KB. Each revision changes its start and one line.
std::string Document(Revision revision) {
  std::string text = fmt::format("revision {}\n", revision);
  for (Revision line = 0; line < 500; ++line) {
    text += fmt::format("backend {} zone a slots {}\n", line, line <= revision ? revision : line);
  }
  return text;
}

// Replicas over an in-memory network with loss, duplication, delays and unreachable nodes.
struct Fleet {
  explicit Fleet(std::size_t size, std::uint64_t seed = 1) : random(seed), connected(size, true) {
    std::vector<Endpoint> all;
    for (std::size_t i = 0; i < size; ++i) all.push_back(Address(i));
    for (std::size_t i = 0; i < size; ++i) {
      replicas.emplace_back(ReplicaOptions{}, random.Next());
      std::vector<Endpoint> others = all;
      std::erase(others, Address(i));
      replicas[i].SetPeers(others);
    }
  }

  void Apply(std::size_t from, const ReplicaActions& actions) {
    for (const ReplicaAction& action : actions) {
      if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
        reverted = reverted || installed->revision <= max_installed[from] ||
                   *installed->document != Document(installed->revision);
        max_installed[from] = installed->revision;
        continue;
      }
      const auto& send = std::get<SendToPeer>(action);
      Message message = std::visit([](const auto& m) { return Message(m); }, send.message);
      bytes += EncodeMessage(message).size();
      int deliveries = random.NextDouble() < loss ? 0 : random.NextDouble() < duplication ? 2 : 1;
      for (; deliveries > 0; --deliveries) {
        TimePoint at = clock.Now() + jitter * static_cast<int>(random.Below(100)) / 100;
        in_flight.emplace(at, InFlightMessage{from, send});
      }
    }
  }

  void Step() {
    clock.Advance(milliseconds(10));
    while (!in_flight.empty() && in_flight.begin()->first <= clock.Now()) {
      InFlightMessage packet = in_flight.begin()->second;
      in_flight.erase(in_flight.begin());
      std::size_t to = packet.send.to.port - 1000;
      if (!connected[to] || !connected[packet.from]) continue;
      Endpoint from = Address(packet.from);
      ConfigReplica& replica = replicas[to];
      if (auto* m = std::get_if<ConfigAnnounce>(&packet.send.message)) {
        Apply(to, replica.OnAnnounce(clock.Now(), from, *m));
      } else if (auto* m = std::get_if<ConfigPull>(&packet.send.message)) {
        Apply(to, replica.OnPull(clock.Now(), from, *m));
      } else if (auto* m = std::get_if<ConfigData>(&packet.send.message)) {
        Apply(to, replica.OnData(clock.Now(), from, *m));
      }
    }
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (!connected[i]) continue;
      if (replicas[i].NextTimer() <= clock.Now()) Apply(i, replicas[i].OnTimer(clock.Now()));
      // Stands for a membership probe every 500 ms.
      if (random.Below(50) == 0) Probe(i, random.Below(replicas.size()));
    }
  }

  void Probe(std::size_t from, std::size_t to) {
    if (from == to || !connected[to] || random.NextDouble() < loss) return;
    Apply(to, replicas[to].OnRevisionSeen(clock.Now(), Address(from), replicas[from].revision(),
                                          replicas[from].store_contact()));
    Apply(from, replicas[from].OnRevisionSeen(clock.Now(), Address(to), replicas[to].revision(),
                                              replicas[to].store_contact()));
  }

  Duration RunUntilAll(Revision revision, Duration limit) {
    TimePoint start = clock.Now();
    auto done = [&] {
      for (const ConfigReplica& replica : replicas) {
        if (replica.revision() != revision) return false;
      }
      return true;
    };
    while (!done() && clock.Now() - start < limit) Step();
    return clock.Now() - start;
  }

  struct InFlightMessage {
    std::size_t from;
    SendToPeer send;
  };

  ManualClock clock;
  Random random;
  std::vector<ConfigReplica> replicas;
  std::vector<bool> connected;
  std::multimap<TimePoint, InFlightMessage> in_flight;
  std::map<std::size_t, Revision> max_installed;
  double loss = 0;
  double duplication = 0;
  Duration jitter = milliseconds(10);
  std::uint64_t bytes = 0;
  bool reverted = false;
};

TEST_CASE("a delta turns any document into any other, and malformed deltas do no harm") {
  CHECK(rc::check("delta", [](const std::vector<std::string>& parts,
                              const std::vector<std::uint8_t>& order, const std::string& junk) {
    std::string base;
    for (const std::string& part : parts) base += part + std::string(40, '-') + part;
    std::string target = junk;
    for (std::uint8_t i : order) {
      target += parts.empty() ? junk : parts[i % parts.size()] + std::string(40, '-');
    }
    RC_ASSERT(ApplyDelta(base, MakeDelta(base, target)) == target);
    ApplyDelta(base, junk);
    ApplyDelta(base, std::string(1, '\0') + junk);
    ApplyDelta(base, std::string(1, '\1') + junk);
  }));
  std::string delta = MakeDelta(Document(3), Document(4));
  CHECK(delta.size() < 300);
  for (std::size_t size = 1; size < delta.size(); ++size) {
    std::optional<std::string> truncated = ApplyDelta(Document(3), delta.substr(0, size));
    if (truncated.has_value()) CHECK(*truncated != Document(4));
  }
}

TEST_CASE("no sequence of lost, repeated, late, forged or stale messages reverts a replica") {
  CHECK(rc::check("no reversion", [](const std::vector<std::uint16_t>& events) {
    ConfigReplica source({}, 1);
    ConfigReplica replica({}, 2);
    ManualClock clock;
    replica.SetPeers({Address(1), Address(2)});
    std::vector<ConfigData> recorded;
    Revision max_installed = 0;
    Revision published = 0;
    for (std::uint16_t event : events) {
      clock.Advance(milliseconds(event % 97));
      ReplicaActions actions;
      Revision any = event / 7 % 12;
      Endpoint from = Address(1 + event / 3 % 2);
      ConfigData data = recorded.empty() ? ConfigData{} : recorded[event / 7 % recorded.size()];
      switch (event % 7) {
        case 0:  // A new revision, recorded as a delta and as a whole document.
          ++published;
          source.OnStoreDocument(clock.Now(), published, Document(published));
          for (const ConfigPull& pull :
               {ConfigPull{0, 0}, ConfigPull{published - 1, Hash64(Document(published - 1))},
                ConfigPull{any, Hash64(Document(any))}}) {
            ReplicaActions sent = source.OnPull(clock.Now(), from, pull);
            auto* response = std::get_if<ConfigData>(&std::get<SendToPeer>(sent[0]).message);
            if (response != nullptr) recorded.push_back(*response);
          }
          break;
        case 1:
          actions = replica.OnAnnounce(clock.Now(), from, {any, event});
          break;
        case 2:
        case 3:
          actions = replica.OnData(clock.Now(), from, data);
          break;
        case 4:  // Contents of one revision under the number of another one.
          data.revision = any;
          if (data.base_revision <= any) actions = replica.OnData(clock.Now(), from, data);
          break;
        case 5:  // A store restored from a backup.
          actions = replica.OnStoreDocument(clock.Now(), any, Document(any));
          break;
        case 6:
          actions = replica.OnTimer(clock.Now());
          break;
      }
      for (const ReplicaAction& action : actions) {
        if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
          RC_ASSERT(installed->revision > max_installed);
          max_installed = installed->revision;
        }
      }
      RC_ASSERT(replica.revision() == max_installed);
      if (replica.document() != nullptr) RC_ASSERT(Hash64(*replica.document()) == replica.hash());
    }
  }));
}

TEST_CASE("a revision reaches all nodes within 5 s despite loss, and never reverts") {
  for (double loss : {0.0, 0.2}) {
    for (std::size_t size : {4, 16, 64, 256}) {
      Fleet fleet(size, size);
      fleet.loss = loss;
      fleet.duplication = loss;
      fleet.Apply(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 1, Document(1)));
      fleet.RunUntilAll(1, seconds(60));
      fleet.bytes = 0;
      Duration max_duration{0};
      constexpr int kRevisions = 10;
      for (Revision revision = 2; revision < 2 + kRevisions; ++revision) {
        std::size_t reader = fleet.random.Below(size);
        fleet.Apply(reader, fleet.replicas[reader].OnStoreDocument(fleet.clock.Now(), revision,
                                                                   Document(revision)));
        max_duration = std::max(max_duration, fleet.RunUntilAll(revision, seconds(60)));
      }
      MESSAGE(size << " nodes, loss " << loss << ": slowest of " << kRevisions << " revisions "
                   << std::chrono::duration_cast<milliseconds>(max_duration).count() << " ms, "
                   << fleet.bytes / size / kRevisions << " bytes per node and revision");
      CHECK(max_duration < seconds(5));
      CHECK_FALSE(fleet.reverted);
    }
  }
}

TEST_CASE(
    "a node that restarts or was isolated gets the document from peers while the store is down") {
  Fleet fleet(8);
  fleet.connected[7] = false;
  fleet.Apply(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 5, Document(5)));
  for (int i = 0; i < 100; ++i) fleet.Step();
  CHECK(fleet.replicas[7].Status(fleet.clock.Now()).behind);
  CHECK_FALSE(fleet.replicas[6].Status(fleet.clock.Now()).behind);
  fleet.connected[7] = true;
  CHECK(fleet.RunUntilAll(5, seconds(10)) < seconds(3));
  CHECK_FALSE(fleet.reverted);
}

TEST_CASE(
    "age and behind distinguish a node in contact with the store through others from an isolated "
    "one") {
  Fleet fleet(16);
  fleet.Apply(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 1, Document(1)));
  fleet.connected[9] = false;
  for (int i = 0; i < 3000; ++i) {
    if (i % 100 == 0) fleet.replicas[0].OnStoreContact(fleet.clock.Now());
    fleet.Step();
  }
  fleet.Apply(9,
              fleet.replicas[9].OnStoreDocument(fleet.clock.Now() - seconds(30), 1, Document(1)));
  ReplicaStatus through_others = fleet.replicas[5].Status(fleet.clock.Now());
  ReplicaStatus isolated = fleet.replicas[9].Status(fleet.clock.Now());
  CHECK_FALSE(through_others.behind);
  CHECK(through_others.age < seconds(8));
  CHECK(isolated.behind);
  CHECK(isolated.age == seconds(30));
}

TEST_CASE("a lost pull is sent to another peer, and a peer with nothing new ends the pulls") {
  ConfigReplica replica({}, 1);
  ManualClock clock;
  auto pulled_from = [](const ReplicaActions& actions) {
    return actions.size() == 1 ? std::get<SendToPeer>(actions[0]).to : Endpoint{};
  };
  CHECK(pulled_from(replica.OnAnnounce(clock.Now(), Address(1), {3, 9})) == Address(1));
  CHECK(replica.OnAnnounce(clock.Now(), Address(2), {3, 9}).empty());
  clock.Advance(milliseconds(500));
  REQUIRE(replica.NextTimer() <= clock.Now());
  CHECK(pulled_from(replica.OnTimer(clock.Now())) == Address(2));
  CHECK(replica.OnPeerLost(clock.Now(), Address(2)).empty());
  CHECK(pulled_from(replica.OnAnnounce(clock.Now(), Address(1), {3, 9})) == Address(1));
  CHECK(replica.OnAnnounce(clock.Now(), Address(1), {0, 0}).empty());
  CHECK(replica.OnTimer(clock.Now()).empty());
}

TEST_CASE("each zone has two readers, and one that fails is replaced") {
  std::vector<Member> members;
  for (std::size_t i = 0; i < 30; ++i) {
    members.push_back({fmt::format("node-{}", i), fmt::format("zone-{}", i % 3), Address(i), 1, 0,
                       MemberState::kAlive});
  }
  auto readers = [&] {
    std::map<ZoneName, int> count;
    for (const Member& self : members) {
      if (self.IsLive()) count[self.zone] += IsConfigReader(self, members);
    }
    return count;
  };
  std::map<ZoneName, int> two_each{{"zone-0", 2}, {"zone-1", 2}, {"zone-2", 2}};
  CHECK(readers() == two_each);
  for (Member& member : members) {
    if (IsConfigReader(member, members)) {
      member.state = MemberState::kDead;
      break;
    }
  }
  CHECK(readers() == two_each);
}

}  // namespace
}  // namespace damaskroute
