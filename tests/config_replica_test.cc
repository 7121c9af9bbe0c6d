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

// Document of about 20 KB of which a revision changes the start and one line.
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

  void Do(std::size_t from, const ReplicaActions& actions) {
    for (const ReplicaAction& action : actions) {
      if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
        reverted = reverted || installed->revision <= greatest[from] ||
                   *installed->document != Document(installed->revision);
        greatest[from] = installed->revision;
        continue;
      }
      const auto& send = std::get<SendToPeer>(action);
      Message message = std::visit([](const auto& m) { return Message(m); }, send.message);
      bytes += EncodeMessage(message).size();
      int copies = random.Unit() < loss ? 0 : random.Unit() < duplication ? 2 : 1;
      for (; copies > 0; --copies) {
        TimePoint at = clock.Now() + jitter * static_cast<int>(random.Below(100)) / 100;
        in_flight.emplace(at, Parcel{from, send});
      }
    }
  }

  void Step() {
    clock.Advance(milliseconds(10));
    while (!in_flight.empty() && in_flight.begin()->first <= clock.Now()) {
      Parcel parcel = in_flight.begin()->second;
      in_flight.erase(in_flight.begin());
      std::size_t to = parcel.send.to.port - 1000;
      if (!connected[to] || !connected[parcel.from]) continue;
      Endpoint from = Address(parcel.from);
      ConfigReplica& replica = replicas[to];
      if (auto* m = std::get_if<ConfigAnnounce>(&parcel.send.message)) {
        Do(to, replica.OnAnnounce(clock.Now(), from, *m));
      } else if (auto* m = std::get_if<ConfigPull>(&parcel.send.message)) {
        Do(to, replica.OnPull(clock.Now(), from, *m));
      } else if (auto* m = std::get_if<ConfigData>(&parcel.send.message)) {
        Do(to, replica.OnData(clock.Now(), from, *m));
      }
    }
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (!connected[i]) continue;
      if (replicas[i].NextTimer() <= clock.Now()) Do(i, replicas[i].OnTimer(clock.Now()));
      // Stands for a membership probe every 500 ms.
      if (random.Below(50) == 0) Probe(i, random.Below(replicas.size()));
    }
  }

  void Probe(std::size_t from, std::size_t to) {
    if (from == to || !connected[to] || random.Unit() < loss) return;
    Do(to, replicas[to].OnRevisionSeen(clock.Now(), Address(from), replicas[from].revision(),
                                       replicas[from].store_contact()));
    Do(from, replicas[from].OnRevisionSeen(clock.Now(), Address(to), replicas[to].revision(),
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

  struct Parcel {
    std::size_t from;
    SendToPeer send;
  };

  ManualClock clock;
  Random random;
  std::vector<ConfigReplica> replicas;
  std::vector<bool> connected;
  std::multimap<TimePoint, Parcel> in_flight;
  std::map<std::size_t, Revision> greatest;
  double loss = 0;
  double duplication = 0;
  Duration jitter = milliseconds(10);
  std::uint64_t bytes = 0;
  bool reverted = false;
};

TEST_CASE("a delta leads from any document to any other, and any other input does no harm") {
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
    std::optional<std::string> cut = ApplyDelta(Document(3), delta.substr(0, size));
    if (cut.has_value()) CHECK(*cut != Document(4));
  }
}

TEST_CASE("no sequence of lost, repeated, late, forged or stale messages makes a replica go back") {
  CHECK(rc::check("no reversion", [](const std::vector<std::uint16_t>& events) {
    ConfigReplica source({}, 1);
    ConfigReplica replica({}, 2);
    ManualClock clock;
    replica.SetPeers({Address(1), Address(2)});
    std::vector<ConfigData> recorded;
    Revision greatest = 0;
    Revision published = 0;
    for (std::uint16_t event : events) {
      clock.Advance(milliseconds(event % 97));
      ReplicaActions actions;
      Revision any = event / 7 % 12;
      Endpoint from = Address(1 + event / 3 % 2);
      ConfigData data = recorded.empty() ? ConfigData{} : recorded[event / 7 % recorded.size()];
      switch (event % 7) {
        case 0:  // A new revision, and all ways to send it.
          ++published;
          source.OnStoreDocument(clock.Now(), published, Document(published));
          for (const ConfigPull& pull :
               {ConfigPull{0, 0}, ConfigPull{published - 1, Hash64(Document(published - 1))},
                ConfigPull{any, Hash64(Document(any))}}) {
            ReplicaActions sent = source.OnPull(clock.Now(), from, pull);
            auto* answer = std::get_if<ConfigData>(&std::get<SendToPeer>(sent[0]).message);
            if (answer != nullptr) recorded.push_back(*answer);
          }
          break;
        case 1:
          actions = replica.OnAnnounce(clock.Now(), from, {any, event});
          break;
        case 2:
        case 3:
          actions = replica.OnData(clock.Now(), from, data);
          break;
        case 4:  // Contents of one revision under the number of another.
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
          RC_ASSERT(installed->revision > greatest);
          greatest = installed->revision;
        }
      }
      RC_ASSERT(replica.revision() == greatest);
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
      fleet.Do(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 1, Document(1)));
      fleet.RunUntilAll(1, seconds(60));
      fleet.bytes = 0;
      Duration greatest{0};
      constexpr int kRevisions = 10;
      for (Revision revision = 2; revision < 2 + kRevisions; ++revision) {
        std::size_t reader = fleet.random.Below(size);
        fleet.Do(reader, fleet.replicas[reader].OnStoreDocument(fleet.clock.Now(), revision,
                                                                Document(revision)));
        greatest = std::max(greatest, fleet.RunUntilAll(revision, seconds(60)));
      }
      MESSAGE(size << " nodes, loss " << loss << ": slowest of " << kRevisions << " revisions "
                   << std::chrono::duration_cast<milliseconds>(greatest).count() << " ms, "
                   << fleet.bytes / size / kRevisions << " bytes per node and revision");
      CHECK(greatest < seconds(5));
      CHECK_FALSE(fleet.reverted);
    }
  }
}

TEST_CASE(
    "a node that restarts or was cut off gets the document from peers while the store is down") {
  Fleet fleet(8);
  fleet.connected[7] = false;
  fleet.Do(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 5, Document(5)));
  for (int i = 0; i < 100; ++i) fleet.Step();
  CHECK(fleet.replicas[7].Status(fleet.clock.Now()).behind);
  CHECK_FALSE(fleet.replicas[6].Status(fleet.clock.Now()).behind);
  fleet.connected[7] = true;
  CHECK(fleet.RunUntilAll(5, seconds(10)) < seconds(3));
  CHECK_FALSE(fleet.reverted);
}

TEST_CASE(
    "age and behind tell a node in contact with the store through others from a cut-off one") {
  Fleet fleet(16);
  fleet.Do(0, fleet.replicas[0].OnStoreDocument(fleet.clock.Now(), 1, Document(1)));
  fleet.connected[9] = false;
  for (int i = 0; i < 3000; ++i) {
    if (i % 100 == 0) fleet.replicas[0].OnStoreContact(fleet.clock.Now());
    fleet.Step();
  }
  fleet.Do(9, fleet.replicas[9].OnStoreDocument(fleet.clock.Now() - seconds(30), 1, Document(1)));
  ReplicaStatus through_others = fleet.replicas[5].Status(fleet.clock.Now());
  ReplicaStatus cut_off = fleet.replicas[9].Status(fleet.clock.Now());
  CHECK_FALSE(through_others.behind);
  CHECK(through_others.age < seconds(8));
  CHECK(cut_off.behind);
  CHECK(cut_off.age == seconds(30));
}

TEST_CASE("a lost pull goes to another peer, and a peer that has nothing new ends the pulls") {
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

TEST_CASE("each zone has two readers, and one that dies is replaced") {
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
