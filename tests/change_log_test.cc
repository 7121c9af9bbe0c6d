#include "damaskroute/relay/change_log.h"

#include <doctest/doctest.h>

#include <string>

namespace damaskroute {
namespace {

StoreItem Item(std::uint64_t revision, std::string value = "v") {
  return {"key-" + std::to_string(revision), std::move(value), revision, false};
}

TEST_CASE("a log knows nothing until everything was read once") {
  ChangeLog log;
  CHECK_FALSE(log.After(0));
  CHECK_FALSE(log.After(5));
}

TEST_CASE("a follower gets the changes after what it knows, and what they lead up to") {
  ChangeLog log;
  log.Restart(10);
  log.Append({Item(11), Item(13)}, 15, false);
  auto page = log.After(11);
  REQUIRE(page);
  CHECK(page->as_of == 15);
  REQUIRE(page->items.size() == 1);
  CHECK(page->items[0].revision == 13);
  CHECK(log.After(15)->items.empty());
}

// Guards against a follower that misses changes because its relay began to read after them.
TEST_CASE("a follower whose changes are not known is told so") {
  ChangeLog log;
  log.Restart(10);
  CHECK_FALSE(log.After(9));
  CHECK(log.After(10));
  log.Append({Item(11)}, 11, false);
  log.Restart(40);  // The store dropped its history, and everything was read again.
  CHECK_FALSE(log.After(11));
  CHECK(log.After(40)->items.empty());
}

TEST_CASE("a follower that is ahead of its relay gets nothing and goes back to nothing") {
  ChangeLog log;
  log.Restart(10);
  auto page = log.After(20);
  REQUIRE(page);
  CHECK(page->items.empty());
  CHECK(page->as_of == 10);
}

// Guards against memory that grows with a storm of large configurations.
TEST_CASE("the log forgets its oldest changes above its limit") {
  ChangeLog log;
  log.Restart(1);
  std::string big(ChangeLog::kMaxBytes / 4, 'x');
  for (std::uint64_t revision = 2; revision < 12; ++revision) {
    log.Append({Item(revision, big)}, revision, false);
  }
  CHECK_FALSE(log.After(2));
  auto page = log.After(9);
  REQUIRE(page);
  CHECK(page->items.size() == 2);
}

// Guards against servers that are dropped although their entries only lapsed in an outage.
TEST_CASE("removals after an outage are marked for followers as well") {
  ChangeLog log;
  log.Restart(1);
  log.Append({Item(2)}, 2, false);
  log.Append({Item(3)}, 3, true);
  CHECK(log.After(1)->after_outage);
  CHECK_FALSE(log.After(3)->after_outage);
}

}  // namespace
}  // namespace damaskroute
