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
  CHECK(directory.OnEntry(draining) == DirectoryChange::kAdded);
  CHECK(directory.OnEntry(Entry(100, 4)) == DirectoryChange::kNone);
  CHECK(directory.Find("i-1")->draining);
}

TEST_CASE("a new incarnation replaces the old one, although its sequence number is lower") {
  BackendDirectory directory;
  directory.OnEntry(Entry(100, 50));
  CHECK(directory.OnEntry(Entry(200, 1)) == DirectoryChange::kReplaced);
  CHECK(directory.OnEntry(Entry(100, 51)) == DirectoryChange::kNone);
  CHECK(directory.Find("i-1")->incarnation == 200);
}

TEST_CASE("a changed address replaces the server") {
  BackendDirectory directory;
  directory.OnEntry(Entry(100, 1));
  BackendEntry moved = Entry(100, 2);
  moved.endpoint.port = 81;
  CHECK(directory.OnEntry(moved) == DirectoryChange::kReplaced);
}

TEST_CASE("a removed entry removes the server at once while the store is available") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1));
  CHECK(directory.OnRemoved("i-1", /*after_outage=*/false, clock.Now()) ==
        DirectoryChange::kRemoved);
  CHECK(directory.Find("i-1") == nullptr);
}

TEST_CASE("entries that expired in an outage are retained until they are written again") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1));
  CHECK(directory.OnAllRead({}, /*after_outage=*/true, clock.Now()).empty());
  CHECK(directory.Find("i-1") != nullptr);
  directory.OnEntry(Entry(100, 2));
  clock.Advance(kExpiryGrace * 2);
  CHECK(directory.Expire(clock.Now()).empty());
  CHECK(directory.Find("i-1") != nullptr);
}

TEST_CASE("an entry that is not written again after an outage is removed") {
  BackendDirectory directory;
  ManualClock clock;
  directory.OnEntry(Entry(100, 1));
  directory.OnRemoved("i-1", /*after_outage=*/true, clock.Now());
  CHECK(directory.next_expiry() == clock.Now() + kExpiryGrace);
  // A second complete read without the entry does not extend the grace period.
  clock.Advance(std::chrono::milliseconds(500));
  directory.OnAllRead({}, /*after_outage=*/true, clock.Now());
  clock.Advance(kExpiryGrace - std::chrono::milliseconds(500));
  CHECK(directory.Expire(clock.Now()) == std::vector<BackendName>{"i-1"});
  CHECK(directory.size() == 0);
}

}  // namespace
}  // namespace damaskroute
