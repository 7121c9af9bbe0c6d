#include "damaskroute/routing/backend_directory.h"

#include <doctest/doctest.h>

#include "damaskroute/core/time.h"

namespace damaskroute {
namespace {

BackendEntry Entry(std::int64_t incarnation, std::int64_t sequence) {
  return {.id = "i-1",
          .service = "catalogue",
          .endpoint = {"10.0.0.1", 80},
          .zone = "a",
          .sequence = sequence,
          .incarnation = incarnation};
}

TEST_CASE("an older entry of the same incarnation does not undo a newer one") {
  BackendDirectory directory;
  BackendEntry draining = Entry(100, 5);
  draining.draining = true;
  CHECK(directory.OnEntry(draining, TimePoint()) == DirectoryChange::kAdded);
  CHECK(directory.OnEntry(Entry(100, 4), TimePoint()) == DirectoryChange::kNone);
  CHECK(directory.Find("i-1")->draining);
}

TEST_CASE("a new incarnation replaces the old one, although its sequence number is lower") {
  BackendDirectory directory;
  directory.OnEntry(Entry(100, 50), TimePoint());
  CHECK(directory.OnEntry(Entry(200, 1), TimePoint()) == DirectoryChange::kReplaced);
  CHECK(directory.OnEntry(Entry(100, 51), TimePoint()) == DirectoryChange::kNone);
  CHECK(directory.Find("i-1")->incarnation == 200);
}

TEST_CASE("a changed address replaces the server") {
  BackendDirectory directory;
  directory.OnEntry(Entry(100, 1), TimePoint());
  BackendEntry moved = Entry(100, 2);
  moved.endpoint.port = 81;
  CHECK(directory.OnEntry(moved, TimePoint()) == DirectoryChange::kReplaced);
}

TEST_CASE("a removed entry removes the server at once while the store is available") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1), TimePoint());
  CHECK(directory.OnRemoved("i-1", /*after_outage=*/false, clock.Now()) ==
        DirectoryChange::kRemoved);
  CHECK(directory.Find("i-1") == nullptr);
}

TEST_CASE("entries that expired in an outage are retained until they are written again") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1), TimePoint());
  CHECK(directory.OnAllRead({}, /*after_outage=*/true, clock.Now()).empty());
  CHECK(directory.Find("i-1") != nullptr);
  directory.OnEntry(Entry(100, 2), TimePoint());
  clock.Advance(kExpiryGrace * 2);
  CHECK(directory.Expire(clock.Now()).empty());
  CHECK(directory.Find("i-1") != nullptr);
}

TEST_CASE("an entry that is not written again after an outage is removed") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1), TimePoint());
  directory.OnRemoved("i-1", /*after_outage=*/true, clock.Now());
  CHECK(directory.next_expiry() == clock.Now() + kExpiryGrace);
  // A second complete read without the entry does not extend the grace period.
  clock.Advance(std::chrono::milliseconds(500));
  directory.OnAllRead({}, /*after_outage=*/true, clock.Now());
  clock.Advance(kExpiryGrace - std::chrono::milliseconds(500));
  CHECK(directory.Expire(clock.Now()) == std::vector<BackendName>{"i-1"});
  CHECK(directory.size() == 0);
}

// The store was restored from a copy in which the server still has an entry.
struct RemovedServer {
  BackendDirectory directory;
  ManualClock clock;

  RemovedServer() {
    BackendEntry draining = Entry(100, 9);
    draining.draining = true;
    directory.OnEntry(draining, clock.Now());
    directory.OnRemoved("i-1", /*after_outage=*/false, clock.Now());
    directory.OnStoreRestored();
  }
  DirectoryChange Put(std::int64_t incarnation, std::int64_t sequence) {
    return directory.OnEntry(Entry(incarnation, sequence), clock.Now());
  }
};

TEST_CASE("a server that left before a restore of the store is not used again") {
  RemovedServer f;
  CHECK(f.Put(100, 5) == DirectoryChange::kDelayed);
  CHECK(f.directory.Find("i-1") == nullptr);
  f.clock.Advance(kReturnedEntryDelay / 2);
  CHECK(f.directory.TakeReturned(f.clock.Now()).empty());
  SUBCASE("its entry is removed again") {
    f.directory.OnRemoved("i-1", /*after_outage=*/true, f.clock.Now());
  }
  SUBCASE("its entry is missing in the next complete read") {
    f.directory.OnAllRead({}, /*after_outage=*/true, f.clock.Now());
  }
  CHECK(f.directory.next_expiry() == TimePoint::max());
  f.clock.Advance(kReturnedEntryDelay);
  CHECK(f.directory.TakeReturned(f.clock.Now()).empty());
}

TEST_CASE("a removed server is used at once if its entry is newer, and later if it stays") {
  RemovedServer f;
  SUBCASE("heartbeat after its return") { CHECK(f.Put(100, 10) == DirectoryChange::kAdded); }
  SUBCASE("another incarnation") { CHECK(f.Put(101, 1) == DirectoryChange::kAdded); }
  SUBCASE("the same entry, long afterwards") {
    f.clock.Advance(kRemovedEntryMemory);
    CHECK(f.Put(100, 9) == DirectoryChange::kAdded);
  }
  SUBCASE("the same entry, written after the copy was read") {
    f.directory.OnAllRead({}, /*after_outage=*/true, f.clock.Now());
    CHECK(f.Put(100, 9) == DirectoryChange::kAdded);
  }
  SUBCASE("an entry that stays") {
    CHECK(f.Put(100, 9) == DirectoryChange::kDelayed);
    f.clock.Advance(kReturnedEntryDelay / 2);
    CHECK(f.Put(100, 9) ==
          DirectoryChange::kDelayed);  // Read again, which does not extend the delay.
    CHECK(f.directory.next_expiry() == f.clock.Now() + kReturnedEntryDelay / 2);
    f.clock.Advance(kReturnedEntryDelay / 2);
    auto returned = f.directory.TakeReturned(f.clock.Now());
    REQUIRE(returned.size() == 1);
    CHECK(f.directory.OnEntry(returned[0], f.clock.Now()) == DirectoryChange::kAdded);
  }
  CHECK(f.directory.Find("i-1") != nullptr);
}

}  // namespace
}  // namespace damaskroute
