#include "damaskroute/forward/backend_table.h"

#include <doctest/doctest.h>

#include "tests/support/forward_fixture.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kMeanLatency{10};

struct Fixture : ForwardFixture {
  TimePoint answer_by = TimePoint::max();

  explicit Fixture(int servers = 2) : ForwardFixture(1, servers) {}

  std::string Choose(const std::vector<std::string>& tried = {}) {
    std::vector<std::shared_ptr<Backend>> excluded;
    for (const std::string& id : tried) excluded.push_back(table.Find(id));
    auto choice = table.Choose("s0", excluded, {clock.Now() + seconds(1), answer_by, kMeanLatency},
                               clock.Now());
    return choice.backend ? choice.backend->entry.id : "";
  }

  void Call(const std::string& id, milliseconds latency,
            CallObservation kind = CallObservation::kAnswer) {
    auto backend = table.Find(id);
    TimePoint sent = clock.Now();
    backend->call_stats.OnSent(sent);
    clock.Advance(latency);
    backend->call_stats.OnEnded(sent, kind, kMeanLatency, clock.Now());
  }
};

TEST_CASE("the local zone is preferred while both servers perform alike") {
  Fixture f;
  for (int i = 0; i < 20; ++i) {
    f.Call("s0a", milliseconds(5));
    f.Call("s0b", milliseconds(5));
  }
  for (int i = 0; i < 20; ++i) CHECK(f.Choose() == "s0a");
}

TEST_CASE("a draining server, a closed zone and a tried server get no calls") {
  Fixture f(3);
  BackendEntry draining = ForwardFixture::Entry(0, "a");
  draining.draining = true;
  f.table.Put(draining, f.clock.Now());
  f.table.SetClosedZones({"b"});
  CHECK(f.Choose() == "s0c");
  CHECK(f.Choose({"s0c"}).empty());
}

// Guards against calls that wait for a paused server: servers pause for 250 ms every few seconds.
TEST_CASE("a server that stalls with open calls is avoided, and used again once it responds") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    f.Call("s0a", milliseconds(10));
    f.Call("s0b", milliseconds(16));
  }
  auto paused = f.table.Find("s0a");
  TimePoint sent = f.clock.Now();
  paused->call_stats.OnSent(sent);
  CHECK(f.Choose() == "s0a");
  f.clock.Advance(milliseconds(40));
  CHECK(f.Choose() == "s0b");
  f.clock.Advance(milliseconds(200));
  paused->call_stats.OnEnded(sent, CallObservation::kAnswer, kMeanLatency, f.clock.Now());
  CHECK_FALSE(paused->call_stats.IsStalled(f.clock.Now()));
}

TEST_CASE("one long call among answered ones is not a stall") {
  Fixture f;
  for (int i = 0; i < 5; ++i) f.Call("s0a", milliseconds(10));
  auto server = f.table.Find("s0a");
  server->call_stats.OnSent(f.clock.Now());
  for (int i = 0; i < 10; ++i) f.Call("s0a", milliseconds(10));
  CHECK_FALSE(server->call_stats.IsStalled(f.clock.Now()));
}

TEST_CASE("a slow server loses its calls to the other zone, and is tried again later") {
  Fixture f;
  for (int i = 0; i < 20; ++i) {
    f.Call("s0a", milliseconds(80));
    f.Call("s0b", milliseconds(10));
  }
  CHECK(f.Choose() == "s0b");
  for (int i = 0; i < 1200; ++i) f.Call("s0b", milliseconds(10));
  CHECK(f.Choose() == "s0a");
}

TEST_CASE("a server that cannot be reached is avoided longer with each failure") {
  Fixture f;
  f.Call("s0a", milliseconds(1), CallObservation::kUnreachable);
  CHECK(f.Choose() == "s0b");
  f.clock.Advance(milliseconds(250));
  auto server = f.table.Find("s0a");
  CHECK_FALSE(server->call_stats.IsAvoided(f.clock.Now()));
  f.Call("s0a", milliseconds(1), CallObservation::kUnreachable);
  f.clock.Advance(milliseconds(250));
  CHECK(server->call_stats.IsAvoided(f.clock.Now()));
  f.clock.Advance(milliseconds(200));
  f.Call("s0a", milliseconds(5));
  CHECK_FALSE(server->call_stats.IsAvoided(f.clock.Now()));
}

// Guards against calls to a server that fails four of ten requests while it reports good health.
TEST_CASE("a server that fails a fraction of its calls gets few of them") {
  Fixture f;
  int chosen = 0;
  for (int i = 0; i < 300; ++i) {
    f.clock.Advance(milliseconds(20));
    std::string id = f.Choose();
    bool fails = id == "s0a" && i % 5 < 2;
    if (id == "s0a") ++chosen;
    f.Call(id, milliseconds(5), fails ? CallObservation::kFailure : CallObservation::kAnswer);
  }
  CHECK(chosen < 100);
}

// Half of the servers shed four of ten requests while they report good health. Each shed call costs
// a retry out of a small budget.
TEST_CASE("a server that sheds a fraction of its calls gets few of them") {
  Fixture f;
  int chosen = 0;
  for (int i = 0; i < 300; ++i) {
    f.clock.Advance(milliseconds(40));
    std::string id = f.Choose();
    bool sheds = id == "s0a" && i % 5 < 2;
    if (id == "s0a") ++chosen;
    f.Call(id, milliseconds(5), sheds ? CallObservation::kShed : CallObservation::kAnswer);
  }
  CHECK(chosen < 100);
}

TEST_CASE("an avoided server is used if there is no other") {
  Fixture f(1);
  f.Call("s0a", milliseconds(1), CallObservation::kUnreachable);
  CHECK(f.Choose() == "s0a");
}

TEST_CASE("a server whose queue exceeds the time to the deadline gets no more calls") {
  Fixture f(1);
  auto server = f.table.Find("s0a");
  server->max_outstanding = 1000;
  // Each call takes the mean of 10 ms and three run at a time, so 300 calls take one second, which
  // is the time to the deadline.
  for (int i = 0; i < 299; ++i) server->call_stats.OnSent(f.clock.Now());
  CHECK(f.Choose() == "s0a");
  server->call_stats.OnSent(f.clock.Now());
  CHECK(f.Choose().empty());
}

TEST_CASE("calls to a server stay within this node's share of its connections") {
  Fixture f(1);
  auto server = f.table.Find("s0a");
  for (int i = 0; i < server->max_outstanding; ++i) server->call_stats.OnSent(f.clock.Now());
  CHECK(f.Choose().empty());
}

TEST_CASE("a cold server is chosen after warm ones, and gets no more than the node's share") {
  Fixture f;
  RoutingDocument document;
  document.services["s0"] = {.max_connections = 100, .cold_rate = 10};
  f.table.SetPolicies(std::make_shared<const RouteTable>(document), /*nodes=*/4);
  BackendEntry cold = ForwardFixture::Entry(0, "a");
  cold.warmup_left = seconds(3);
  f.table.Remove(cold.id);
  f.table.Put(cold, f.clock.Now());
  CHECK(f.Choose() == "s0b");
  f.table.Remove("s0b");
  // A quarter of 10/s x 1.5 + 5 = 20/s.
  int sent = 0;
  for (; sent < 50 && !f.Choose().empty(); ++sent) {
    auto server = f.table.Find("s0a");
    server->cold.OnSent(f.clock.Now());
  }
  CHECK(sent == 5);
  f.clock.Advance(seconds(3));
  CHECK(f.Choose() == "s0a");
}

// A service with one server, of which a quarter of 10/s x 1.5 + 5 = 20/s is this node's share while
// it is cold.
struct ColdLimitFixture : Fixture {
  ColdLimitFixture() : Fixture(1) {
    RoutingDocument document;
    document.services["s0"] = {.max_connections = 100, .cold_rate = 10};
    table.SetPolicies(std::make_shared<const RouteTable>(document), /*nodes=*/4);
  }

  Backend& server() { return *table.Find("s0a"); }
  void Probe(bool opened) { table.OnProbed(server(), clock.Now(), opened, clock.Now()); }

  // Sends as many calls as the server may get now, at most 50.
  int SendAll() {
    int sent = 0;
    for (; sent < 50 && !Choose().empty(); ++sent) server().cold.OnSent(clock.Now());
    return sent;
  }
};

// Guards against a server that restarts under its id and is overrun: it is cold, but its entry of
// before says that it is warm.
TEST_CASE("a server that no call reached counts as cold until a newer entry must be known") {
  ColdLimitFixture f;
  f.table.OnCallEnded(f.server(), f.clock.Now(), CallObservation::kUnreachable, kMeanLatency,
                      f.clock.Now());
  f.clock.Advance(seconds(10));
  f.Probe(/*opened=*/true);
  CHECK(f.SendAll() == 5);
  f.clock.Advance(BackendTableOptions().entry_bound);
  CHECK(f.SendAll() == 50);
}

TEST_CASE("calls to a server before its restart is known count against its limit") {
  ColdLimitFixture f;
  f.Probe(/*opened=*/false);
  f.clock.Advance(seconds(10));
  f.Probe(/*opened=*/true);
  CHECK(f.SendAll() == 5);
  BackendEntry entry = ForwardFixture::Entry(0, "a");
  entry.incarnation = 2;
  entry.warmup_left = seconds(2);
  auto replaced = f.table.Find(entry.id);
  f.table.Remove(entry.id);
  f.table.Put(entry, f.clock.Now(), replaced.get());
  CHECK(f.SendAll() == 0);
  f.clock.Advance(seconds(2));
  CHECK(f.SendAll() == 50);
}

// Services without a limit for cold servers.
TEST_CASE("a server that was unreachable is used at once if cold servers have no limit") {
  Fixture f(1);
  f.table.OnProbed(*f.table.Find("s0a"), f.clock.Now(), /*opened=*/false, f.clock.Now());
  f.clock.Advance(seconds(10));
  f.table.OnProbed(*f.table.Find("s0a"), f.clock.Now(), /*opened=*/true, f.clock.Now());
  CHECK(f.table.EligibilityOf(*f.table.Find("s0a"), f.clock.Now()) == BackendEligibility::kGood);
}

TEST_CASE("a cold server is limited although its entry arrived before the routes") {
  Fixture f(1);
  BackendEntry cold = ForwardFixture::Entry(0, "a");
  cold.warmup_left = seconds(3);
  f.table.Put(cold, f.clock.Now());
  RoutingDocument document;
  document.services["s0"] = {.max_connections = 100, .cold_rate = 2};
  f.table.SetPolicies(std::make_shared<const RouteTable>(document), /*nodes=*/4);
  int sent = 0;
  for (; sent < 50 && !f.Choose().empty(); ++sent) f.table.Find("s0a")->cold.OnSent(f.clock.Now());
  CHECK(sent == 2);
}

// The share of a node is less than one call. Without a call to any node, a service whose servers
// all start at once would have no server for as long as they are cold.
TEST_CASE("a cold server gets calls from some nodes of a large fleet, and no more than its limit") {
  std::vector<NodeName> names;
  for (int i = 0; i < 33; ++i) names.push_back(fmt::format("node-{}", i));
  ManualClock clock;
  RoutingDocument document;
  document.services["s0"] = {.max_connections = 100, .cold_rate = 2};
  auto routes = std::make_shared<const RouteTable>(document);
  BackendEntry cold = ForwardFixture::Entry(0, "a");
  cold.warmup_left = seconds(3);
  int allowed = 0;
  for (const NodeName& name : names) {
    BackendTable table({.local_node = name}, 1);
    table.Put(cold, clock.Now());
    table.SetPolicies(routes, static_cast<int>(names.size()));
    table.SetNodeNames(names);
    for (int i = 0; i < 5 && table.Find("s0a")->cold.Allows(clock.Now()); ++i, ++allowed) {
      table.Find("s0a")->cold.OnSent(clock.Now());
    }
  }
  CHECK(allowed == 8);  // 2/s x 1.5 + 5.
}

// Guards against repeated calls to a slow server that sheds them: three quarters of the shed calls
// counted as extra calls, and each cost the query a part.
TEST_CASE(
    "the calls in progress stay below the number at which the server shed, and grow with answers") {
  Fixture f(1);
  auto server = f.table.Find("s0a");
  std::vector<TimePoint> sent;
  for (int i = 0; i < 8; ++i) {
    sent.push_back(f.clock.Now());
    server->call_stats.OnSent(sent.back());
    f.clock.Advance(milliseconds(1));
  }
  server->call_stats.OnEnded(sent.back(), CallObservation::kShed, kMeanLatency, f.clock.Now());
  CHECK(f.Choose().empty());
  for (int i = 0; i < 3; ++i) {
    server->call_stats.OnEnded(sent[i], CallObservation::kAnswer, kMeanLatency, f.clock.Now());
  }
  CHECK(f.Choose() == "s0a");
  for (int more = 0; more < 4; ++more) {
    for (int i = 0; i < 20; ++i) f.Call("s0a", milliseconds(5));
    CHECK(f.Choose() == "s0a");
    server->call_stats.OnSent(f.clock.Now());
  }
}

TEST_CASE("a server that sheds every call still gets one call at a time") {
  Fixture f(1);
  for (int i = 0; i < 20; ++i) f.Call("s0a", milliseconds(1), CallObservation::kShed);
  CHECK(f.Choose() == "s0a");
  f.table.Find("s0a")->call_stats.OnSent(f.clock.Now());
  CHECK(f.Choose().empty());
}

// Guards against a node that goes in and out of service: in an isolated zone, connections that were
// open before the partition time out one by one, and must not make their servers count as
// reachable.
TEST_CASE("a broken connection does not make an unreachable server count as reachable") {
  Fixture f(1);
  f.Call("s0a", milliseconds(1), CallObservation::kUnreachable);
  CHECK_FALSE(f.table.IsReachable("s0", f.clock.Now()));
  f.Call("s0a", milliseconds(1), CallObservation::kFailure);
  CHECK_FALSE(f.table.IsReachable("s0", f.clock.Now()));
  f.table.OnProbed(*f.table.Find("s0a"), f.clock.Now(), /*opened=*/true, f.clock.Now());
  CHECK(f.table.IsReachable("s0", f.clock.Now()));
}

TEST_CASE("a new incarnation starts with empty statistics") {
  Fixture f(1);
  f.Call("s0a", milliseconds(1), CallObservation::kUnreachable);
  auto old = f.table.Find("s0a");
  f.table.Remove("s0a");
  f.table.Put(ForwardFixture::Entry(0, "a"), f.clock.Now());
  CHECK(old->gone);
  CHECK_FALSE(f.table.Find("s0a")->call_stats.IsAvoided(f.clock.Now()));
}

// A server that is 8 times slower cannot respond before the objective; a call to it would only
// lengthen its queue.
TEST_CASE("a server that is too slow for the objective ranks below a degraded one") {
  Fixture f;
  for (int i = 0; i < 20; ++i) f.Call("s0a", milliseconds(100));
  f.Call("s0b", milliseconds(10), CallObservation::kShed);
  f.answer_by = f.clock.Now() + milliseconds(70);
  auto choice = f.table.Choose("s0", {}, {f.clock.Now() + seconds(1), f.answer_by, kMeanLatency},
                               f.clock.Now());
  CHECK(choice.backend->entry.id == "s0b");
  CHECK(choice.rank == BackendRank::kDegraded);
}

// The server of another service listens at the address of a crashed one, whose entry remains for
// seconds.
TEST_CASE("a server whose address is used by another one is not called again") {
  Fixture f(1);
  f.table.Find("s0a")->misdirected = true;
  f.clock.Advance(seconds(60));
  CHECK(f.Choose().empty());
  f.table.Put(ForwardFixture::Entry(0, "a"), f.clock.Now());
  CHECK(f.Choose() == "s0a");
}

// Guards against an unresponsive server that looks idle after each call: its calls are hedged and
// then cancelled.
TEST_CASE("a server that was unresponsive until its call was cancelled is avoided") {
  Fixture f;
  for (int i = 0; i < 5; ++i) f.Call("s0a", milliseconds(10));
  f.Call("s0a", milliseconds(60), CallObservation::kCancellation);
  CHECK(f.table.Find("s0a")->call_stats.IsAvoided(f.clock.Now()));
  CHECK(f.Choose() == "s0b");
}

TEST_CASE("a call cancelled while the server answered others does not make it unresponsive") {
  Fixture f;
  for (int i = 0; i < 5; ++i) f.Call("s0a", milliseconds(10));
  auto server = f.table.Find("s0a");
  TimePoint sent = f.clock.Now();
  server->call_stats.OnSent(sent);
  for (int i = 0; i < 6; ++i) f.Call("s0a", milliseconds(10));
  server->call_stats.OnEnded(sent, CallObservation::kCancellation, kMeanLatency, f.clock.Now());
  CHECK_FALSE(server->call_stats.IsAvoided(f.clock.Now()));
}

TEST_CASE("long calls of one route do not make a server slow for another") {
  Fixture f;
  auto server = f.table.Find("s0a");
  for (int i = 0; i < 20; ++i) {
    TimePoint sent = f.clock.Now();
    server->call_stats.OnSent(sent);
    f.clock.Advance(milliseconds(220));
    server->call_stats.OnEnded(sent, CallObservation::kAnswer, milliseconds(220), f.clock.Now());
  }
  CHECK(server->call_stats.Slowness(f.clock.Now()) < 1.1);
}

}  // namespace
}  // namespace damaskroute
