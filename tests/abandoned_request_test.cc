#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/platform_fleet.h"

// Guards against a crash that nodes notice so late that the request has come again many times, and
// against harmless requests that are blocked because they ran beside it.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Three tries show that a request crashes servers, and three more may reach them.
constexpr std::size_t kAllowedTries = 6;

TEST_CASE("a request that crashes servers after its caller left reaches few of them") {
  std::string method = "GET";
  std::string crashing;
  std::string harmless;
  SUBCASE("idempotent") {
    crashing = "/one/deadly";
    harmless = "/one/x";
  }
  SUBCASE("action") {
    method = "POST";
    crashing = "/act/deadly";
    harmless = "/act/x";
  }
  SUBCASE("query") {
    crashing = "/all/deadly";
    harmless = "/all/x";
  }
  CAPTURE(crashing);
  PlatformFleet fleet(8);
  for (std::size_t i = 0; i < 8; ++i) REQUIRE(fleet.AwaitServers(i));
  fleet.SetCrashDelay(milliseconds(95));
  fleet.SetAnswerDelay(milliseconds(20));
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> blocked{0};
  std::atomic<int> other{0};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < 10; ++i) {
    callers.emplace_back([&, i] {
      for (std::size_t number = i; !stop; ++number) {
        auto response =
            fleet.Call(number, method, harmless, "payload", fmt::format("caller-{}", i + 2));
        if (response.status == 200) {
          ++answered;
        } else if (response.body.find("crashed") != std::string::npos) {
          ++blocked;
        } else {
          ++other;
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  Random random(1);
  std::thread crashing_caller([&] {
    while (!stop) {
      fleet.CallAndLeave(random.Below(8), method, crashing, milliseconds(1500), milliseconds(60));
      std::this_thread::sleep_for(milliseconds(350));
    }
  });
  TimePoint end = SteadyClock().Now() + std::chrono::seconds(8);
  while (SteadyClock().Now() < end) {
    std::this_thread::sleep_for(milliseconds(20));
    fleet.RestartAfter(milliseconds(1500));
  }
  stop = true;
  crashing_caller.join();
  for (std::thread& caller : callers) caller.join();
  MESSAGE("crashes: " << fleet.crashes() << ", harmless requests answered: " << answered.load()
                      << ", blocked: " << blocked.load() << ", otherwise: " << other.load());
  std::set<std::string> tries;
  for (const auto& run : fleet.RunsOf(crashing)) tries.insert(run.id);
  CHECK(tries.size() <= kAllowedTries);
  CHECK(blocked == 0);
}

}  // namespace
}  // namespace damaskroute
