#include <doctest/doctest.h>

#include "damaskroute/forward/reporting_servers.h"
#include "damaskroute/node/forward_call.h"
#include "fmt/format.h"
#include "tests/support/forward_fixture.h"
#include "tests/support/platform_fixture.h"

// Responses in which a backend server reports that it is leaving or requests a backoff. Both apply
// to all connections of the node and take precedence over the server's entry.

namespace damaskroute {
namespace {

using platform::ServerMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A node with two servers to choose from; it prefers the one in the local zone.
struct TwoServers : PlatformFixture {
  TwoServers() { REQUIRE(StartServing(2)); }

  Server& preferred = AddServer("i-1", "desk", "a");
  Server& other = AddServer("i-2", "desk", "b");
};

std::string EntryWith(PlatformFixture::Server& server, int sequence, std::int64_t born = 1000) {
  std::string entry =
      PlatformFixture::Server::EntryAt(server.endpoint(), "desk", "a", sequence, "ready");
  return entry.replace(entry.find("\"born\":1000"), 11, fmt::format("\"born\":{}", born));
}

TEST_CASE("a server that reports in an answer that it is leaving gets no further request") {
  TwoServers w;
  auto& leaving = w.preferred;
  leaving.SetMode(ServerMode::kLeaving);
  CHECK(w.Get("/one/x").status == 200);
  CHECK(leaving.runs().size() == 1);
  for (int i = 0; i < 20; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(leaving.runs().size() == 1);
}

// Guards against a heartbeat that the server wrote before it began to leave, and against an entry
// that expired and returned.
TEST_CASE(
    "a leaving server is used again only after its next incarnation, whatever its entries say") {
  TwoServers w;
  auto& leaving = w.preferred;
  leaving.SetMode(ServerMode::kLeaving);
  CHECK(w.Get("/one/x").status == 200);
  std::string key = platform::kServerPrefix + std::string("i-1");
  w.store.Write(key, EntryWith(leaving, 2));
  w.AddServer("i-3", "other");
  REQUIRE(w.AwaitServers(3));
  w.store.Remove(key);
  REQUIRE(w.AwaitServers(2));
  w.store.Write(key, EntryWith(leaving, 3));
  REQUIRE(w.AwaitServers(3));
  for (int i = 0; i < 5; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(leaving.runs().size() == 1);
  leaving.SetMode(ServerMode::kAnswer);
  w.store.Write(key, EntryWith(leaving, 1, /*born=*/2000));
  CHECK(PlatformFixture::Await(
      [&] { return w.Get("/one/x").status == 200 && leaving.runs().size() > 1; }));
}

// The header is in a late answer to an earlier request for which no caller waits any more.
TEST_CASE("an answer to another request also reports that its server is leaving") {
  TwoServers w;
  auto& leaving = w.preferred;
  leaving.SetMode(ServerMode::kLeavingUnanswered);
  CHECK(w.Get("/one/x").status == 200);  // By a hedged call to the other server.
  leaving.SetMode(ServerMode::kAnswer);
  for (int i = 0; i < 5; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(leaving.runs().size() == 1);
}

TEST_CASE("the number of servers whose reports are retained is bounded") {
  ReportingServers servers;
  for (std::size_t i = 0; i < ReportingServers::kMaxServers + 10; ++i) {
    auto backend = std::make_shared<Backend>();
    backend->entry.id = fmt::format("{}", i);
    backend->entry.incarnation = 7;
    servers.Add(backend);
  }
  CHECK(servers.size() == ReportingServers::kMaxServers);
  CHECK_FALSE(servers.Find("0", 7));
  CHECK(servers.Find("100", 7));
  CHECK_FALSE(servers.Find("100", 8));
}

// The report is in the response to a call that began before the entry expired.
TEST_CASE("a report that comes after the server's entry expired and returned counts") {
  ForwardFixture w(1);
  auto called = w.table.Find("s0a");
  w.table.Remove("s0a");
  w.AddServer(0, "a");
  REQUIRE(w.table.Find("s0a") != called);
  CHECK(w.table.RetainReport(called) == w.table.Find("s0a"));
}

TEST_CASE("a report of an earlier incarnation does not concern the server that replaced it") {
  ForwardFixture w(1);
  auto called = w.table.Find("s0a");
  w.table.Remove("s0a");
  BackendEntry next = ForwardFixture::Entry(0, "a");
  next.incarnation = called->entry.incarnation + 1;
  w.table.Put(next, w.clock.Now());
  w.table.RetainReport(called)->leaving = true;
  CHECK_FALSE(w.table.Find("s0a")->leaving);
  w.table.Remove("s0a");
  w.table.Put(next, w.clock.Now());
  CHECK_FALSE(w.table.Find("s0a")->leaving);
}

TEST_CASE("a server that requested a backoff gets no requests while others can serve them") {
  TwoServers w;
  auto& busy = w.preferred;
  busy.SetMode(ServerMode::kBackoff);
  busy.SetRetryAfter("3600");
  for (int i = 0; i < 20; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(busy.backoff_responses() == 1);
  CHECK(w.other.runs().size() == 20);
}

TEST_CASE("a backoff expires, also one of a fraction of a second") {
  PlatformFixture w;
  auto& busy = w.AddServer("i-1", "desk", "a");
  REQUIRE(w.StartServing(1));
  busy.SetMode(ServerMode::kBackoff);
  busy.SetRetryAfter("0.25");
  auto refused = w.Get("/one/x");
  CHECK(refused.status == 503);
  // Without the server's Retry-After it would be about 0.45 s: 0.3 of the caller's 1.5 s.
  CHECK(std::stod(refused["Retry-After"]) < 0.3);
  busy.SetMode(ServerMode::kAnswer);
  CHECK(PlatformFixture::Await([&] { return w.Get("/one/x").status == 200; }));
}

TEST_CASE("an invalid Retry-After causes no backoff") {
  for (const char* text : {"", "soon", "-5", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CAPTURE(text);
    PlatformFixture w;
    auto& busy = w.AddServer("i-1", "desk", "a");
    REQUIRE(w.StartServing(1));
    busy.SetMode(ServerMode::kBackoff);
    busy.SetRetryAfter(text);
    CHECK(w.Get("/one/x").status == 503);
    busy.SetMode(ServerMode::kAnswer);
    CHECK(PlatformFixture::Await([&] { return w.Get("/one/x").status == 200; }));
  }
}

// Without a limit, a wrong value would exclude a server permanently.
TEST_CASE("an excessive backoff is limited to one hour") {
  ForwardProtocol protocol = platform::Platform().Protocol();
  for (const char* text : {"1e300", "99999999999999999999", "inf", "3601"}) {
    CAPTURE(text);
    ExchangeResult answer;
    answer.end = ExchangeEnd::kAnswered;
    answer.status = 503;
    answer.headers = {{protocol.not_executed, "1"}, {"Retry-After", text}};
    CHECK(ClassifyForwardCall({}, std::move(answer), false, protocol).backoff ==
          std::chrono::hours(1));
  }
}

// The address was reassigned to another server, whose headers do not concern the server called.
TEST_CASE("headers of another server at the address are not applied to the server called") {
  ForwardProtocol protocol = platform::Platform().Protocol();
  ExchangeResult answer;
  answer.end = ExchangeEnd::kAnswered;
  answer.status = 421;
  answer.leaving = true;
  CHECK_FALSE(ClassifyForwardCall({}, std::move(answer), false, protocol).leaving);
}

TEST_CASE(
    "a shard is left out at once if all its servers requested a backoff, and gets no hedged call") {
  ForwardFixture w(4);
  for (const char* id : {"s1a", "s1b"}) {
    w.table.OnBackoffRequested(*w.table.Find(id), seconds(2), w.clock.Now());
  }
  w.table.OnBackoffRequested(*w.table.Find("s2b"), seconds(2), w.clock.Now());
  w.Begin(w.Query(4, 3));
  CHECK(w.run->left_out() == std::vector<ServiceName>{"s1"});
  CHECK(w.sent.size() == 3);
  w.Advance(milliseconds(60));
  CHECK_FALSE(w.IsOpen("s2b"));
}

TEST_CASE(
    "a refusal's Retry-After is the time until enough shards have a server without a backoff") {
  ForwardFixture w(4);
  auto backoff = [&](int shard, milliseconds time) {
    for (const char* zone : {"a", "b"}) {
      w.table.OnBackoffRequested(*w.table.Find(fmt::format("s{}{}", shard, zone)), time,
                                 w.clock.Now());
    }
  };
  backoff(0, milliseconds(5000));
  backoff(1, milliseconds(2500));
  backoff(2, milliseconds(700));
  w.Begin(w.Query(4, 3));
  REQUIRE(w.answer);
  CHECK(w.answer->kind == AnswerKind::kRefused);
  CHECK(w.answer->retry_after == milliseconds(2500));
  CHECK(w.sent.empty());
}

}  // namespace
}  // namespace damaskroute
