#include "damaskroute/relay/change_log.h"

#include <doctest/doctest.h>

#include <string>

namespace damaskroute {
namespace {

StoreItem Item(std::uint64_t revision, std::string value = "v") {
  return {"key-" + std::to_string(revision), std::move(value), revision, false};
}

TEST_CASE("a log serves no changes before the first complete read") {
  ChangeLog log;
  CHECK_FALSE(log.After(0));
  CHECK_FALSE(log.After(5));
}

TEST_CASE("a follower gets the changes after its revision, and the revision that they lead to") {
  ChangeLog log;
  log.Restart(10, 1);
  log.Append({Item(11), Item(13)}, 15, false);
  auto page = log.After(11);
  REQUIRE(page);
  CHECK(page->as_of == 15);
  REQUIRE(page->items.size() == 1);
  CHECK(page->items[0].revision == 13);
  CHECK(log.After(15)->items.empty());
}

// Guards against a follower that misses changes because its relay started to read after them.
TEST_CASE("a follower whose revision precedes the log is rejected") {
  ChangeLog log;
  log.Restart(10, 1);
  CHECK_FALSE(log.After(9));
  CHECK(log.After(10));
  log.Append({Item(11)}, 11, false);
  log.Restart(40, 1);  // A complete read after the store compacted its history.
  CHECK_FALSE(log.After(11));
  CHECK(log.After(40)->items.empty());
}

TEST_CASE("a follower that is ahead of its relay gets no changes and an older revision") {
  ChangeLog log;
  log.Restart(10, 1);
  auto page = log.After(20);
  REQUIRE(page);
  CHECK(page->items.empty());
  CHECK(page->as_of == 10);
}

// Guards against unbounded memory when many large configurations are written.
TEST_CASE("the log evicts its oldest changes above its limit") {
  ChangeLog log;
  log.Restart(1, 1);
  std::string big(ChangeLog::kMaxBytes / 4, 'x');
  for (std::uint64_t revision = 2; revision < 12; ++revision) {
    log.Append({Item(revision, big)}, revision, false);
  }
  CHECK_FALSE(log.After(2));
  auto page = log.After(9);
  REQUIRE(page);
  CHECK(page->items.size() == 2);
}

// Guards against servers that are removed although their entries only expired in an outage.
TEST_CASE("removals after an outage are marked for followers as well") {
  ChangeLog log;
  log.Restart(1, 1);
  log.Append({Item(2)}, 2, false);
  log.Append({Item(3)}, 3, true);
  CHECK(log.After(1)->after_outage);
  CHECK_FALSE(log.After(3)->after_outage);
}

}  // namespace
}  // namespace damaskroute
