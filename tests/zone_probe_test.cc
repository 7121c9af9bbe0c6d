#include <doctest/doctest.h>
#include <sys/socket.h>

#include "tests/support/forward_fixture.h"
#include "tests/support/platform_fixture.h"

// Guards against late detection of a network partition by nodes with few queries. In the load
// pattern cajon-sur-large, a zone of 24 nodes is isolated for 5 s, and each node gets a query every
// 2.4 s. Without probes, the nodes detected the partition only when callers' requests failed, up to
// 4.7 s after it began, and refused 120 requests.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// A port with a full backlog: further connection attempts get no response, as in a partition.
class UnresponsivePort {
 public:
  UnresponsivePort() : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    listen(acceptor_.native_handle(), 0);
    // These connections fill the backlog. They never complete, as the loop does not run.
    for (auto* socket : {&first_, &second_}) {
      socket->async_connect(acceptor_.local_endpoint(), [](const auto&) {});
    }
  }

  Endpoint endpoint() { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket first_{io_};
  asio::ip::tcp::socket second_{io_};
};

TEST_CASE("a zone has no recent contact until a server responds, unless it counts as unreachable") {
  ZoneReachability reachability;
  ManualClock clock;
  clock.Advance(std::chrono::hours(1));
  CHECK(reachability.HasNoRecentContact("b", clock.Now()));
  reachability.OnContact("b", clock.Now());
  CHECK_FALSE(reachability.HasNoRecentContact("b", clock.Now()));
  clock.Advance(ZoneReachability::kContactTimeout);
  CHECK(reachability.HasNoRecentContact("b", clock.Now()));
  for (const char* server : {"b1", "b2", "b3"}) {
    TimePoint started = clock.Now();
    clock.Advance(milliseconds(60));
    reachability.OnNoConnection("b", server, started, clock.Now());
  }
  CHECK_FALSE(reachability.HasNoRecentContact("b", clock.Now()));
}

TEST_CASE("only other zones in use are probed, by a few random servers each") {
  ForwardFixture w(40, 3);
  w.table.SetClosedZones({"c"});
  CHECK(w.table.ZonesWithoutRecentContact(w.clock.Now()) == std::set<ZoneName>{"b"});
  std::set<BackendName> chosen;
  for (int i = 0; i < 50; ++i) {
    auto servers = w.table.SampleIdleServers("b", 2);
    REQUIRE(servers.size() == 2);
    for (const auto& server : servers) {
      CHECK(server->entry.zone == "b");
      chosen.insert(server->entry.id);
    }
  }
  CHECK(chosen.size() > 20);
  // All connections of a busy server may be in use, which does not mean that it is unreachable.
  w.Begin(w.Query(40, 40));
  for (const auto& server : w.table.SampleIdleServers("b", 40)) {
    CHECK(server->call_stats.outstanding() == 0);
  }
  w.table.Find("s7b")->call_stats.OnSent(w.clock.Now());
  CHECK(w.table.SampleIdleServers("b", 40).size() == 39);
}

TEST_CASE("a node without requests detects an unreachable zone without sending a request") {
  PlatformFixture w;
  w.AddServer("i-1", "desk", "a");
  std::vector<std::unique_ptr<UnresponsivePort>> ports;
  for (int i = 0; i < 4; ++i) {
    ports.push_back(std::make_unique<UnresponsivePort>());
    w.store.Write(
        fmt::format("{}far-{}", platform::kServerPrefix, i),
        PlatformFixture::Server::EntryAt(ports.back()->endpoint(), "desk", "b", 1, "ready"));
  }
  auto& reached = w.AddServer("i-2", "desk", "c");
  REQUIRE(w.StartServing(6));
  REQUIRE(PlatformFixture::Await([&] {
    (void)w.ReadyStatus();
    return w.ReadForwardingState([](const ForwardingState& b) {
      return b.backends().UnreachableZones(SteadyClock().Now());
    }) == std::set<ZoneName>{"b"};
  }));
  CHECK(reached.runs().empty());
  CHECK(w.Get("/one/x").status == 200);
}

}  // namespace
}  // namespace damaskroute
