#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "damaskroute/core/random.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/forward/route_latency.h"
#include "fmt/format.h"

// The servers that one node chooses for calls that it sends one at a time, when all servers of a
// service are equally fast and half of them have just been added.

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 8;
constexpr int kCalls = 800;
constexpr milliseconds kPause{20};

// A user expects equal shares of servers of equal speed, and accepts a third of that.
constexpr int kMinShare = kCalls / kServers / 3;

/// Draws the latency of a call.
using Latency = Duration (*)(Random& random);

class LightLoad {
 public:
  LightLoad(Latency latency, std::uint64_t seed)
      : latency_(latency), random_(seed), table_({.local_zone = "a"}, seed + 1) {}

  void AddServer(const std::string& id) {
    table_.Put({.id = id, .service = "desk", .zone = "a", .slots = 3}, clock_.Now());
    table_.Find(id)->max_outstanding = 8;
  }

  /// Sends calls, each after the one before has ended. Returns the calls by server.
  std::map<std::string, int> Send(int calls) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
      clock_.Advance(kPause);
      TimePoint sent = clock_.Now();
      CallTimes times{.deadline = sent + seconds(2), .mean_latency = route_.mean()};
      std::shared_ptr<Backend> server = table_.Choose("desk", {}, times, sent).backend;
      REQUIRE(server);
      ++counts[server->entry.id];
      Duration latency = latency_(random_);
      server->call_stats.OnSent(sent);
      clock_.Advance(latency);
      route_.Add(latency);
      table_.OnCallEnded(*server, sent, CallObservation::kAnswer, route_.mean(), clock_.Now());
    }
    return counts;
  }

 private:
  const Latency latency_;
  Random random_;
  ManualClock clock_;
  BackendTable table_;
  RouteLatency route_{milliseconds(0)};
};

Duration UpTo(Random& random, microseconds span) {
  return microseconds(random.Below(static_cast<std::uint64_t>(span.count())));
}

// Guards against new servers that stay without calls, and cold, after a replacement or a scale-out
// at a quiet hour.
void CheckShares(Latency latency) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    LightLoad load(latency, seed);
    for (int i = 0; i < kServers / 2; ++i) load.AddServer(fmt::format("old-{}", i));
    load.Send(kCalls);
    for (int i = 0; i < kServers / 2; ++i) load.AddServer(fmt::format("new-{}", i));
    std::map<std::string, int> counts = load.Send(kCalls);
    for (int i = 0; i < kServers / 2; ++i) {
      for (const char* kind : {"old", "new"}) {
        std::string id = fmt::format("{}-{}", kind, i);
        CAPTURE(id);
        CHECK(counts[id] >= kMinShare);
      }
    }
  }
}

TEST_CASE("new servers get calls at light load when all calls take about as long") {
  CheckShares(
      [](Random& random) -> Duration { return milliseconds(8) + UpTo(random, milliseconds(4)); });
}

TEST_CASE("new servers get calls at light load when calls take less than a millisecond") {
  CheckShares([](Random& random) -> Duration {
    return microseconds(150) + UpTo(random, microseconds(200));
  });
}

TEST_CASE("new servers get calls at light load when one call in ten takes much longer") {
  CheckShares([](Random& random) -> Duration {
    return random.Below(10) == 0 ? milliseconds(30)
                                 : milliseconds(5) + UpTo(random, milliseconds(3));
  });
}

}  // namespace
}  // namespace damaskroute
