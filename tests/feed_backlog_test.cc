#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "damaskroute/log/log_writer.h"
#include "tests/support/platform_fixture.h"
#include "tests/support/relay_reader.h"

// Guards against stale routes on a node that is thousands of changes behind its store, because the
// index was resharded, with hundreds of new entries, while the store refused nodes. Routes that had
// been acknowledged 5 s before were not in force, because they were queued behind the entries.

namespace damaskroute {
namespace {

using platform::StoreMode;
using std::chrono::milliseconds;

constexpr std::size_t kPage = 500;
constexpr int kEntries = 3000;

// Writes entries, and among them five versions of the routes and a directive to evacuate zone `b`.
// Zone `c` is closed and opened again.
void WriteBacklog(PlatformFixture& w) {
  const std::string zones = platform::kEvacuatePrefix;
  w.store.Write(zones + "c", "{}");
  for (int i = 0; i < kEntries; ++i) {
    std::string entry = PlatformFixture::Server::EntryAt({"127.0.0.1", 1}, "far", "z", 1, "ready");
    w.store.Write(fmt::format("{}far-{}", platform::kServerPrefix, i), entry);
    if (i % (kEntries / 5) == 0) {
      w.store.Write(platform::kConfigKey, PlatformFixture::Config(2 + i / (kEntries / 5)));
    }
    if (i == kEntries / 2) {
      w.store.Remove(zones + "c");
      w.store.Write(zones + "b", "{}");
    }
  }
}

// Writes the backlog while the store is unreachable. The store then serves `watches` watches.
void WriteBacklogInOutage(PlatformFixture& w, std::size_t watches) {
  w.store.SetMode(StoreMode::kReset);
  WriteBacklog(w);
  w.store.SetRemainingWatches(watches);
  w.store.SetMode(StoreMode::kServe);
}

std::set<ZoneName> ClosedZones(PlatformFixture& w) {
  return w.ReadForwardingState(
      [](const ForwardingState& b) { return b.backends().closed_zones(); });
}

std::size_t ServerCount(PlatformFixture& w) {
  return w.ReadForwardingState([](const ForwardingState& b) { return b.backends().size(); });
}

TEST_CASE("routes and zone directives do not wait behind thousands of entries") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.SetPaging(kPage, milliseconds(20));
  REQUIRE(w.StartServing(1));
  WriteBacklogInOutage(w, 1);
  // The node gets only the first page of the backlog.
  REQUIRE(PlatformFixture::Await([&] { return w.RoutesVersion() == 6; }));
  CHECK(ServerCount(w) <= kPage + 1);
  CHECK(ClosedZones(w) == std::set<ZoneName>{"b"});
  w.store.SetRemainingWatches(1000);
  REQUIRE(w.AwaitServers(kEntries + 1));
  CHECK(w.RoutesVersion() == 6);
  CHECK(ClosedZones(w) == std::set<ZoneName>{"b"});
  CHECK(w.Get("/one/x").status == 200);
}

// Guards against past directives that take effect again while the changes are fetched in order.
TEST_CASE("a zone that was closed and opened in the backlog is not closed again by it") {
  PlatformFixture w;
  w.AddServer("i-1", "desk", "c");
  w.store.SetPaging(kPage, milliseconds(0));
  REQUIRE(w.StartServing(1));
  WriteBacklogInOutage(w, 2);
  REQUIRE(PlatformFixture::Await([&] { return ServerCount(w) > kPage + 1; }));
  CHECK(ClosedZones(w) == std::set<ZoneName>{"b"});
  CHECK(w.Get("/one/x").status == 200);
}

TEST_CASE("a node that starts in the middle of a backlog has the newest routes and all entries") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.SetPaging(kPage, milliseconds(20));
  WriteBacklog(w);
  REQUIRE(w.StartServing(kEntries + 1));
  CHECK(w.RoutesVersion() == 6);
  CHECK(ClosedZones(w) == std::set<ZoneName>{"b"});
}

// Guards against a log line for each entry, which gave 1,497 lines in a few seconds.
TEST_CASE("a batch of entries is logged in one line, a single entry with its details") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  {
    LogWriter writer({.descriptor = pipe_ends[1]});
    SetLogWriter(&writer);
    asio::io_context loop;
    ForwardingState forwarding_state(loop, {}, {}, 1);
    auto put = [&](std::size_t from, std::size_t to) {
      forwarding_state.BeginBatch(to - from);
      for (std::size_t i = from; i < to; ++i) {
        forwarding_state.OnBackend({.id = fmt::format("i-{}", i), .service = "desk"});
      }
      forwarding_state.EndBatch();
    };
    put(0, 500);
    put(500, 501);
    SetLogWriter(nullptr);
    writer.Flush();
  }
  close(pipe_ends[1]);
  std::string text(64 << 10, ' ');
  text.resize(
      static_cast<std::size_t>(std::max<ssize_t>(read(pipe_ends[0], text.data(), text.size()), 0)));
  close(pipe_ends[0]);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2);
  CHECK(text.find(R"("added":500,"updated":0,"replaced":0,"removed":0,"known":500)") !=
        std::string::npos);
  CHECK(text.find(R"("backend server known","backend":"i-500")") != std::string::npos);
}

// Guards against a follower that waits for nodes that the store refuses.
TEST_CASE("a follower whose followed nodes cannot reach the store has the newest routes as well") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.SetPaging(kPage, milliseconds(20));
  auto readers = MakeReaders(w, [] { return Duration(std::chrono::hours(1)); });
  REQUIRE(w.StartServing(1));
  WriteBacklog(w);
  CHECK(w.AwaitServers(kEntries + 1));
  CHECK(w.RoutesVersion() == 6);
}

}  // namespace
}  // namespace damaskroute
