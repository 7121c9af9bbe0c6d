#include "damaskroute/membership/membership_driver.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/support/http_call.h"

namespace damaskroute {
namespace {

const PeerKeys kKeys{{1, "secret of the cluster"}, {}};

// Two drivers on one loop. They exchange member tables by direct calls instead of over TCP.
struct DriverPair {
  DriverPair() {
    for (int i = 0; i < 2; ++i) {
      endpoints.push_back(testing::FreeEndpoint());
      Member self{i == 0 ? "a" : "b", "z", endpoints[i], 1, 0, MemberState::kAlive};
      MembershipHandlers handlers;
      handlers.send_pull = [this, i](const Endpoint&, const MembersPull& pull) {
        if (drivers.size() == 2) drivers[i]->OnMembersData(drivers[1 - i]->OnMembersPull(pull));
      };
      handlers.on_revisions = [this, i](const RevisionsSeen& seen) { revisions[i] = seen; };
      drivers.push_back(
          std::make_unique<MembershipDriver>(loop, self, kKeys, SwimOptions{}, i + 1, handlers));
      REQUIRE(drivers[i]->Open().ok());
    }
    drivers[0]->Start({endpoints[1]});
    drivers[1]->Start({endpoints[0]});
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) loop.run_one();
  }

  asio::io_context loop;
  std::vector<Endpoint> endpoints;
  std::vector<std::unique_ptr<MembershipDriver>> drivers;
  RevisionsSeen revisions[2];
};

TEST_CASE("two nodes join, exchange revisions in probes and acks, and one leaves") {
  DriverPair pair;
  pair.drivers[0]->SetRevisions(7, 8, SteadyClock().Now());
  pair.RunUntil([&] { return pair.revisions[1].config_revision == 7; });
  CHECK(pair.revisions[1].roster_revision == 8);
  CHECK(pair.revisions[1].endpoint == pair.endpoints[0]);
  CHECK(pair.drivers[0]->state().LiveCount() == 2);
  pair.drivers[0]->Leave();
  pair.RunUntil([&] { return pair.drivers[1]->state().LiveCount() == 1; });
  CHECK(pair.drivers[1]->state().Find("a")->state == MemberState::kLeft);
}

TEST_CASE("forged, malformed, oversized and replayed datagrams are dropped and counted") {
  DriverPair pair;
  asio::ip::udp::socket socket(pair.loop, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::udp::endpoint to(asio::ip::make_address("127.0.0.1"), pair.endpoints[0].port);
  PeerDatagram datagram{};
  datagram.sender = {"c", "z", {"127.0.0.1", 9}, 1, 0, MemberState::kAlive};
  datagram.sequence = 1;
  std::string bytes = DatagramCodec(kKeys).Encode(datagram).value();
  std::string forged = DatagramCodec({{1, "secret of a stranger"}, {}}).Encode(datagram).value();
  std::string malformed = "\1rubbish";
  MacTag tag = MacKey(kKeys.current.secret).Compute({malformed});
  malformed.append(tag.data(), tag.size());
  for (const std::string& sent : {bytes, bytes, forged, malformed, std::string(1300, 'x')}) {
    socket.send_to(asio::buffer(sent), to);
  }
  const MembershipCounters& counters = pair.drivers[0]->counters();
  pair.RunUntil([&] { return counters.forged + counters.malformed + counters.replayed == 4; });
  CHECK(counters.replayed == 1);
  CHECK(counters.forged == 1);
  CHECK(counters.malformed == 2);
  CHECK(pair.drivers[0]->state().Find("c") != nullptr);
}

}  // namespace
}  // namespace damaskroute
