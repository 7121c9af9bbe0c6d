#include <doctest/doctest.h>

#include <atomic>

#include "tests/support/platform_fixture.h"
#include "tests/support/relay_reader.h"

// Guards against routes that are stale for seconds because all open connections went silent: after
// a call had timed out on one of them, the next call was sent on another and timed out as well.

namespace damaskroute {
namespace {

using standins::FaultProxy;

// Starts the node behind a link to the store, on which it has two connections: one for calls and
// one on which its key was written.
bool StartBehindLink(PlatformFixture& w) {
  w.AddServer("i-1", "desk");
  w.store_link = std::make_unique<FaultProxy>(w.loop, w.store.endpoint());
  return w.StartServing(1) && PlatformFixture::Await([&] {
           return w.store.Has(platform::kNodePrefix + std::string("node-1"));
         });
}

TEST_CASE("after an unanswered watch, no other open connection to the store is used") {
  PlatformFixture w;
  REQUIRE(StartBehindLink(w));
  REQUIRE(PlatformFixture::Await([&] { return w.store.pending_watches() == 1; }));
  w.store_link->SilenceConnections();
  // The node sends a watch on a silent connection if the previous one has just ended.
  std::size_t lost = w.store.pending_watches() == 1 ? 0 : 1;
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
  CHECK(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
  CHECK(w.store_link->silenced_blocks() == lost);
}

// The followed nodes have lost the store, so the node calls the store itself.
TEST_CASE("after an unanswered call to a followed node, no open connection to the store is used") {
  PlatformFixture w;
  std::atomic<int> answers{0};
  std::atomic<bool> lost{false};
  auto readers = MakeReaders(w, [&] {
    ++answers;
    return lost ? Duration(std::chrono::hours(1)) : Duration::zero();
  });
  std::vector<std::unique_ptr<FaultProxy>> links;
  for (auto& reader : readers) {
    links.push_back(std::make_unique<FaultProxy>(w.loop, reader->endpoint));
    w.store.Write(platform::kNodePrefix + reader->name,
                  RenderNodeRecord({"a", links.back()->endpoint()}));
  }
  REQUIRE(StartBehindLink(w));
  REQUIRE(PlatformFixture::Await([&] { return answers > 0; }));
  for (auto& link : links) link->SilenceConnections();
  w.store_link->SilenceConnections();
  lost = true;
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
  CHECK(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
  CHECK(w.store_link->silenced_blocks() == 0);
}

}  // namespace
}  // namespace damaskroute
