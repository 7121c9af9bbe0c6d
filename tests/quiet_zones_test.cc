#include <doctest/doctest.h>
#include <sys/socket.h>

#include "tests/support/forward_world.h"
#include "tests/support/platform_world.h"

// How a node without queries learns that it is cut off. Load pattern: cajon-sur-large, zone d cut
// off from second 34 to 39: each of its 24 nodes sees a query each 2.4 s, learnt of the cut from
// its own callers' requests, up to 4.7 s after it had begun, and refused 120 of them.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// A port whose queue of connections is full: further ones get no answer, as behind a cut.
class SilentPort {
 public:
  SilentPort() : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    listen(acceptor_.native_handle(), 0);
    // The calls are begun and never completed, as the loop does not run.
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

TEST_CASE("a zone is quiet until something is heard of it, and while it does not count as lost") {
  ZoneReach reach;
  ManualClock clock;
  clock.Advance(std::chrono::hours(1));
  CHECK(reach.IsQuiet("b", clock.Now()));
  reach.OnHeard("b", clock.Now());
  CHECK_FALSE(reach.IsQuiet("b", clock.Now()));
  clock.Advance(ZoneReach::kQuiet);
  CHECK(reach.IsQuiet("b", clock.Now()));
  for (const char* server : {"b1", "b2", "b3"}) {
    TimePoint begun = clock.Now();
    clock.Advance(milliseconds(60));
    reach.OnNoConnection("b", server, begun, clock.Now());
  }
  CHECK_FALSE(reach.IsQuiet("b", clock.Now()));
}

TEST_CASE("only other zones in use are asked, and a few random servers of them") {
  ForwardWorld w(40, 3);
  w.table.SetClosedZones({"c"});
  CHECK(w.table.QuietZones(w.clock.Now()) == std::set<ZoneName>{"b"});
  std::set<BackendName> chosen;
  for (int i = 0; i < 50; ++i) {
    auto servers = w.table.SomeOf("b", 2);
    REQUIRE(servers.size() == 2);
    for (const auto& server : servers) {
      CHECK(server->entry.zone == "b");
      chosen.insert(server->entry.id);
    }
  }
  CHECK(chosen.size() > 20);
  // All connections of a busy server may be in use, which says nothing of the way to it.
  w.Begin(w.Query(40, 40));
  for (const auto& server : w.table.SomeOf("b", 40)) CHECK(server->evidence.outstanding() == 0);
  w.table.Find("s7b")->evidence.OnSent(w.clock.Now());
  CHECK(w.table.SomeOf("b", 40).size() == 39);
}

TEST_CASE("a node without requests finds out that a zone is lost, and sends no request for it") {
  PlatformWorld w;
  w.AddServer("i-1", "desk", "a");
  std::vector<std::unique_ptr<SilentPort>> ports;
  for (int i = 0; i < 4; ++i) {
    ports.push_back(std::make_unique<SilentPort>());
    w.store.Write(
        fmt::format("{}far-{}", platform::kServerPrefix, i),
        PlatformWorld::Server::EntryAt(ports.back()->endpoint(), "desk", "b", 1, "ready"));
  }
  auto& reached = w.AddServer("i-2", "desk", "c");
  REQUIRE(w.StartServing(6));
  REQUIRE(PlatformWorld::Await([&] {
    (void)w.Ready();
    return w.Beliefs([](const ForwardBeliefs& b) {
      return b.backends().LostZones(SteadyClock().Now());
    }) == std::set<ZoneName>{"b"};
  }));
  CHECK(reached.runs().empty());
  CHECK(w.Get("/one/x").status == 200);
}

}  // namespace
}  // namespace damaskroute
