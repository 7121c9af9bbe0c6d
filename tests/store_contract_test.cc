#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "damaskroute/store/config_store.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_threads.h"
#include "damaskroute/store/memory_store.h"
#include "standins/loop_thread.h"
#include "standins/platform_standin.h"

namespace damaskroute {
namespace {

using absl::StatusCode;
using std::chrono::milliseconds;

constexpr milliseconds kLongDeadline{30000};

enum class StoreFault { kNone, kDown, kNoAnswer, kAnswerLost };

struct MemoryFixture {
  MemoryStore store;

  void Set(StoreFault fault) {
    store.SetFaults({.down = fault == StoreFault::kDown,
                     .slow = fault == StoreFault::kNoAnswer,
                     .lost_responses = fault == StoreFault::kAnswerLost ? 1 : 0});
  }
  void Backup() { store.TakeBackup(); }
  void Restore() { store.Restore(); }
  StoreCallCounts Counts() { return store.counts(); }
};

Endpoint StartPlatform(standins::PlatformStandin& platform) {
  InitializeHttpThreads();
  REQUIRE(platform.Start().ok());
  return platform.endpoint();
}

struct HttpFixture {
  standins::LoopThread loop;
  standins::PlatformStandin platform{loop, {"127.0.0.1", 0}, {}};
  Endpoint endpoint = StartPlatform(platform);
  HttpStore store{endpoint, kLongDeadline};

  void Set(StoreFault fault) {
    // Only calls that get no response wait for the deadline.
    store = HttpStore(endpoint, fault == StoreFault::kNoAnswer ? milliseconds(20) : kLongDeadline);
    auto text = [&](StoreFault each) { return std::string(fault == each ? "true" : "false"); };
    std::string json = "{\"refuse\":" + text(StoreFault::kDown) +
                       ",\"silent\":" + text(StoreFault::kNoAnswer) +
                       ",\"lose_next\":" + (fault == StoreFault::kAnswerLost ? "1" : "0") + "}";
    REQUIRE(platform.Control(json).ok());
  }
  void Backup() { REQUIRE(platform.Control(R"({"backup":true})").ok()); }
  void Restore() { REQUIRE(platform.Control(R"({"restore":true})").ok()); }
  StoreCallCounts Counts() {
    standins::PlatformStats stats = platform.Stats();
    return {stats.reads, stats.writes, stats.watches};
  }
};

#define STORE_TEST(name) TEST_CASE_TEMPLATE(name, Fixture, MemoryFixture, HttpFixture)

STORE_TEST("only one of two racing writers wins, and the loser changes nothing") {
  Fixture f;
  CHECK(f.store.Get("a/b c").status().code() == StatusCode::kNotFound);
  auto first = f.store.CompareAndSwap("a/b c", 0, "one");
  REQUIRE(first.ok());
  CHECK(f.store.CompareAndSwap("a/b c", 0, "two").status().code() == StatusCode::kAborted);
  CHECK(*f.store.Get("a/b c") == StoredValue{"one", *first});
  auto second = f.store.CompareAndSwap("a/b c", *first, "two");
  REQUIRE(second.ok());
  CHECK(*second > *first);
  CHECK(f.store.CompareAndSwap("a/b c", *first, "three").status().code() == StatusCode::kAborted);
  CHECK(*f.store.Get("a/b c") == StoredValue{"two", *second});
}

STORE_TEST("values up to the limit are kept unchanged; larger ones are rejected without a call") {
  Fixture f;
  std::string bytes(kMaxStoredValueSize, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<char>(i * 31);
  auto version = f.store.CompareAndSwap("big", 0, bytes);
  REQUIRE(version.ok());
  CHECK(*f.store.Get("big") == StoredValue{bytes, *version});
  CHECK(f.store.CompareAndSwap("big", *version, bytes + "x").status().code() ==
        StatusCode::kInvalidArgument);
  CHECK(f.Counts().writes == 1);
}

STORE_TEST("each fault results in its status for a write, and each write is sent once") {
  struct Row {
    const char* name;
    StoreFault fault;
    StatusCode write;
    bool takes_effect;
    StatusCode read;
  };
  const std::vector<Row> rows = {
      {"none", StoreFault::kNone, StatusCode::kOk, true, StatusCode::kOk},
      {"down", StoreFault::kDown, StatusCode::kUnavailable, false, StatusCode::kUnavailable},
      {"no answer", StoreFault::kNoAnswer, StatusCode::kUnknown, false, StatusCode::kUnavailable},
      {"answer lost", StoreFault::kAnswerLost, StatusCode::kUnknown, true, StatusCode::kOk},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    auto old_version = f.store.CompareAndSwap("k", 0, "old");
    REQUIRE(old_version.ok());
    f.Set(row.fault);
    CHECK(f.store.CompareAndSwap("k", *old_version, "new").status().code() == row.write);
    CHECK(f.Counts().writes == 2);
    CHECK(f.store.Get("k").status().code() == row.read);
    CHECK(f.store.Watch("k", 0, milliseconds(0)).status().code() == row.read);
    f.Set(StoreFault::kNone);
    CHECK(f.store.Get("k")->value == (row.takes_effect ? "new" : "old"));
  }
}

STORE_TEST("a lost response to a failed swap is unknown as well, not a success") {
  Fixture f;
  REQUIRE(f.store.CompareAndSwap("k", 0, "old").ok());
  f.Set(StoreFault::kAnswerLost);
  CHECK(f.store.CompareAndSwap("k", 999, "new").status().code() == StatusCode::kUnknown);
  CHECK(f.store.Get("k")->value == "old");
}

STORE_TEST("a restored store returns the old value and version, and swaps compare with it") {
  Fixture f;
  auto first = f.store.CompareAndSwap("k", 0, "one");
  REQUIRE(first.ok());
  f.Backup();
  auto second = f.store.CompareAndSwap("k", *first, "two");
  REQUIRE(second.ok());
  f.Restore();
  CHECK(*f.store.Get("k") == StoredValue{"one", *first});
  CHECK(f.store.CompareAndSwap("k", *second, "three").status().code() == StatusCode::kAborted);
}

STORE_TEST("a watch returns a newer value at once, waits for one, or times out") {
  Fixture f;
  CHECK(f.store.Watch("k", 0, milliseconds(1)).status().code() == StatusCode::kDeadlineExceeded);
  CHECK(f.store.Watch("k", 5, milliseconds(60000)).status().code() == StatusCode::kNotFound);
  auto first = f.store.CompareAndSwap("k", 0, "one");
  REQUIRE(first.ok());
  CHECK(*f.store.Watch("k", 0, milliseconds(60000)) == StoredValue{"one", *first});
  CHECK(f.store.Watch("k", *first, milliseconds(1)).status().code() ==
        StatusCode::kDeadlineExceeded);
  absl::StatusOr<StoredValue> seen;
  std::thread watcher([&] { seen = f.store.Watch("k", *first, milliseconds(60000)); });
  while (f.Counts().watches < 5) std::this_thread::yield();
  auto second = f.store.CompareAndSwap("k", *first, "two");
  watcher.join();
  CHECK(*seen == StoredValue{"two", *second});
}

STORE_TEST("an outage ends a pending watch instead of leaving it to its timeout") {
  Fixture f;
  absl::StatusOr<StoredValue> seen;
  std::thread watcher([&] { seen = f.store.Watch("k", 0, milliseconds(60000)); });
  while (f.Counts().watches < 1) std::this_thread::yield();
  f.Set(StoreFault::kDown);
  watcher.join();
  CHECK(seen.status().code() == StatusCode::kUnavailable);
}

}  // namespace
}  // namespace damaskroute
