#include "damaskroute/crashguard/crash_archive.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

BlockedRequest Blocked(std::uint64_t id, bool lost_here = true) {
  BlockedRequest request;
  request.record.request = id;
  request.lost_here = lost_here;
  return request;
}

struct Fixture {
  CrashArchive archive{1};
  ManualClock clock;

  // The request whose record is to be written now; 0 if there is none.
  std::uint64_t Written(const std::vector<BlockedRequest>& blocked) {
    auto step = archive.Next(blocked, clock.Now());
    return step.write ? step.write->request : 0;
  }
};

TEST_CASE("a record is written once, by a node that has seen one of its losses") {
  Fixture f;
  CHECK(f.Written({}) == 0);
  CHECK(f.Written({Blocked(7, /*lost_here=*/false)}) == 0);
  CHECK(f.Written({Blocked(7)}) == 7);
  f.archive.OnStored(7);
  CHECK(f.Written({Blocked(7)}) == 0);
  CHECK(f.Written({Blocked(7), Blocked(8)}) == 8);
}

// Guards against calls to a store that is away.
TEST_CASE("a failed write is repeated after a pause") {
  Fixture f;
  CHECK(f.Written({Blocked(7)}) == 7);
  f.archive.OnFailure(f.clock.Now());
  auto step = f.archive.Next({Blocked(7)}, f.clock.Now());
  CHECK_FALSE(step.write);
  CHECK(step.next - f.clock.Now() >= CrashArchive::kRetryDelay / 2);
  f.clock.Advance(CrashArchive::kRetryDelay);
  CHECK(f.Written({Blocked(7)}) == 7);
  for (int i = 0; i < 100; ++i) f.archive.OnFailure(f.clock.Now());
  step = f.archive.Next({Blocked(7)}, f.clock.Now());
  CHECK(step.next - f.clock.Now() >= CrashArchive::kMaxRetryDelay / 2);
  CHECK(step.next - f.clock.Now() <= CrashArchive::kMaxRetryDelay);
}

TEST_CASE("a request that is blocked again later is written again") {
  Fixture f;
  f.archive.OnStored(7);
  CHECK(f.Written({}) == 0);
  CHECK(f.Written({Blocked(7)}) == 7);
}

}  // namespace
}  // namespace damaskroute
