#include "damaskroute/forward/tenant_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServerSet kServers = 7;

std::shared_ptr<const RouteTable> RoutesOf(std::vector<Tenant> tenants) {
  RoutingDocument document;
  document.tenants = std::move(tenants);
  return std::make_shared<const RouteTable>(std::move(document));
}

struct Load {
  Tenant tenant;
  double usual_rate = 0;  // Requests per second until the measured time.
  double rate = 0;        // Requests per second in the measured time.
  int route_priority = 0;
};

// Servers with four slots and 40 ms of work per request, so 100 requests per second, a limit of
// twelve requests in progress, and Poisson arrivals of several tenants. All times are simulated.
class Replay {
 public:
  static constexpr std::size_t kSlots = 4;
  static constexpr std::size_t kLimit = 12;
  // As in `OverloadLimit` for queries that need spare room. Others may use the whole limit, as in
  // `ForwardService::AdmitByTenant`.
  static constexpr double kSpareFraction = 0.6;
  static constexpr milliseconds kWork{40};
  static constexpr double kCapacity = 100;
  static constexpr seconds kUsualTime{60};
  static constexpr seconds kSettlingTime{3};
  static constexpr seconds kMeasuredTime{20};

  explicit Replay(std::vector<Load> loads, std::size_t limit = kLimit)
      : loads_(std::move(loads)), limit_(limit) {
    std::vector<Tenant> tenants;
    for (const Load& load : loads_) tenants.push_back(load.tenant);
    admission_.SetRoutes(RoutesOf(std::move(tenants)));
    begin_ = ManualClock().Now();
    TimePoint changed = begin_ + kUsualTime;
    TimePoint measured = changed + kSettlingTime;
    TimePoint end = measured + kMeasuredTime;
    Schedule(begin_, changed, [](const Load& load) { return load.usual_rate; });
    Schedule(changed, end, [](const Load& load) { return load.rate; });
    while (!arrivals_.empty()) {
      auto [at, index] = arrivals_.top();
      arrivals_.pop();
      Arrive(at, loads_[index], at >= measured);
    }
  }

  // Part of the tenant's requests that were served in the measured time.
  double Served(const TenantName& tenant) { return served_[tenant] / sent_[tenant]; }

  double ServedPerSecond() const {
    double total = 0;
    for (const auto& [tenant, count] : served_) total += count;
    return total / static_cast<double>(kMeasuredTime.count());
  }

 private:
  using Arrival = std::pair<TimePoint, std::size_t>;

  void Schedule(TimePoint from, TimePoint until, double (*rate_of)(const Load&)) {
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      double rate = rate_of(loads_[i]);
      for (TimePoint at = from; rate > 0;) {
        std::chrono::duration<double> pause(-std::log(1 - random_.NextDouble()) / rate);
        at += duration_cast<Duration>(pause);
        if (at >= until) break;
        arrivals_.push({at, i});
      }
    }
  }

  void Arrive(TimePoint now, const Load& load, bool measured) {
    while (!ends_.empty() && ends_.top() <= now) ends_.pop();
    FairShareDecision decision = admission_.Admit(
        {.servers = kServers, .tenant = load.tenant.name, .route_priority = load.route_priority},
        now);
    auto limit = static_cast<double>(limit_);
    if (decision == FairShareDecision::kAdmitIfSpare) limit *= kSpareFraction;
    bool served = static_cast<double>(ends_.size() + 1) <= limit;
    if (served) {
      auto slot = std::min_element(slots_.begin(), slots_.end());
      *slot = std::max(*slot, now) + kWork;
      ends_.push(*slot);
      admission_.OnServed(kServers, now);
    } else if (decision != FairShareDecision::kAdmitIfSpare) {
      admission_.OnTurnedAway(kServers, now);
    }
    if (!measured) return;
    ++sent_[load.tenant.name];
    if (served) ++served_[load.tenant.name];
  }

  std::vector<Load> loads_;
  std::size_t limit_;
  Random random_{5};
  TenantAdmission admission_{3};
  TimePoint begin_;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends_;
  std::vector<TimePoint> slots_ = std::vector<TimePoint>(kSlots);
  std::map<TenantName, double> sent_;
  std::map<TenantName, double> served_;
};

Load MakeLoad(const std::string& name, double usual_rate, double rate) {
  return {.tenant = {.name = name}, .usual_rate = usual_rate, .rate = rate};
}

// Guards against a tenant that floods the servers, here at 30 times its usual rate, at the cost of
// those that send what they always send. Served alike, each would get 0.43 of its requests.
TEST_CASE("a tenant far above its usual load is refused first") {
  std::vector<Load> loads = {MakeLoad("flooding", 6, 180)};
  for (int i = 0; i < 9; ++i) loads.push_back(MakeLoad("usual-" + std::to_string(i), 6, 6));
  Replay replay(std::move(loads));
  CAPTURE(replay.Served("flooding"));
  double others = 0;
  for (int i = 0; i < 9; ++i) others += replay.Served("usual-" + std::to_string(i)) / 9;
  CAPTURE(others);
  CHECK(others >= 0.8);
  CHECK(replay.Served("flooding") >= 0.25 * others);
  CHECK(replay.ServedPerSecond() >= 0.9 * Replay::kCapacity);
}

// Guards against an urgent tenant's flood that takes the capacity of less urgent tenants.
TEST_CASE("a priority does not protect a flood") {
  std::vector<Load> loads = {MakeLoad("flooding", 6, 180)};
  for (int i = 0; i < 9; ++i) {
    loads.push_back(MakeLoad("usual-" + std::to_string(i), 6, 6));
    loads.back().tenant.priority = 3;
  }
  Replay replay(std::move(loads));
  CAPTURE(replay.Served("flooding"));
  CHECK(replay.Served("usual-0") >= 0.7);
}

// Guards against tenants that are refused as floods because the whole deployment has more load, and
// against shares by number of tenants, under which a large tenant is hardly served.
TEST_CASE("a load spike of all tenants refuses the same part of each") {
  Replay replay({MakeLoad("large", 40, 160), MakeLoad("medium", 10, 40), MakeLoad("small", 2, 8)});
  CAPTURE(replay.Served("large"));
  CAPTURE(replay.Served("medium"));
  CAPTURE(replay.Served("small"));
  CHECK(replay.Served("small") >= 0.6 * replay.Served("large"));
  CHECK(replay.Served("large") >= 0.6 * replay.Served("small"));
  CHECK(replay.Served("medium") >= 0.6 * replay.Served("large"));
  CHECK(replay.ServedPerSecond() >= 0.9 * Replay::kCapacity);
}

// Guards against urgent requests that are refused as often as others, and against less urgent ones
// that are not served at all.
TEST_CASE("urgent tenants come first, and no tenant gets less than a quarter as much") {
  Load urgent = MakeLoad("urgent", 70, 70);
  urgent.tenant.priority = 0;
  urgent.route_priority = 9;
  Load by_route = MakeLoad("by route", 60, 60);
  by_route.route_priority = 2;
  Load last = MakeLoad("last", 70, 70);
  last.tenant.priority = 4;
  Replay replay({urgent, by_route, last});
  CAPTURE(replay.Served("urgent"));
  CAPTURE(replay.Served("by route"));
  CAPTURE(replay.Served("last"));
  CHECK(replay.Served("urgent") >= 0.75);
  CHECK(replay.Served("urgent") > replay.Served("by route"));
  CHECK(replay.Served("by route") >= replay.Served("last") - 0.03);
  CHECK(replay.Served("last") >= 0.25 * replay.Served("urgent"));
}

// Guards against a low limit of queries whose last place only unlimited tenants may take: it is in
// use most of the time, so the others were hardly served, whatever their probability.
TEST_CASE("a tenant of low priority gets a quarter as much at low limits as well") {
  for (std::size_t limit : {4, 5, 8, 12}) {
    for (double urgent_rate : {70.0, 120.0, 200.0, 400.0}) {
      for (double last_rate : {100.0, 200.0}) {
        Load urgent = MakeLoad("urgent", urgent_rate, urgent_rate);
        urgent.tenant.priority = 0;
        Load last = MakeLoad("last", last_rate, last_rate);
        last.tenant.priority = 4;
        Replay replay({urgent, last}, limit);
        CAPTURE(limit);
        CAPTURE(urgent_rate);
        CAPTURE(last_rate);
        CHECK(replay.Served("last") >= 0.25 * replay.Served("urgent"));
      }
    }
  }
}

// Guards against a tenant whose share falls because some of its callers repeat requests early: only
// the repeats are to come last.
TEST_CASE("early repeats do not lower the share of their tenant") {
  ManualClock clock;
  TenantAdmission admission(1);
  admission.SetRoutes(RoutesOf({{.name = "repeating"}, {.name = "waiting"}}));
  std::map<TenantName, int> admitted;
  for (int i = 0; i < 4000; ++i) {
    clock.Advance(milliseconds(5));
    for (const TenantName tenant : {"waiting", "repeating"}) {
      bool early_repeat = tenant == "repeating" && i % 3 != 0;
      auto decision = admission.Admit(
          {.servers = kServers, .tenant = tenant, .early_repeat = early_repeat}, clock.Now());
      if (decision == FairShareDecision::kAdmitIfSpare) continue;
      ++admitted[tenant];
      i % 2 == 0 ? admission.OnServed(kServers, clock.Now())
                 : static_cast<void>(admission.OnTurnedAway(kServers, clock.Now()));
    }
  }
  CAPTURE(admitted["waiting"]);
  CHECK(admitted["repeating"] >= 0.9 * admitted["waiting"]);
}

// Guards against capacity that stays unused because it is kept for tenants that do not send.
TEST_CASE("a tenant alone gets all of the capacity") {
  Load load = MakeLoad("alone", 20, 300);
  load.tenant.priority = 9;
  Replay replay({load, MakeLoad("silent", 70, 0)});
  CHECK(replay.ServedPerSecond() >= 0.9 * Replay::kCapacity);
}

// Guards against refusals in normal operation: at a load below the capacity nothing is limited.
TEST_CASE("tenants are not limited while there is capacity") {
  Replay replay({MakeLoad("a", 20, 20), MakeLoad("b", 1, 15)});
  CHECK(replay.Served("a") == 1);
  CHECK(replay.Served("b") == 1);
}

// Guards against a tenant that begins to send during an overload and is not limited, as it has had
// no part in the shares before.
TEST_CASE("requests of many new tenants are limited as well") {
  ManualClock clock;
  FairShare share(1, clock.Now());
  int admitted = 0;
  for (int i = 0; i < 4000; ++i) {
    clock.Advance(milliseconds(2));
    auto decision = share.Admit("tenant-" + std::to_string(i), 1, 1, clock.Now());
    if (decision == FairShareDecision::kAdmitIfSpare) continue;
    if (i >= 2000) ++admitted;
    i % 5 == 0 ? share.OnServed(clock.Now()) : share.OnTurnedAway(clock.Now());
  }
  CHECK(admitted < 1200);
}

// Guards against memory that grows with the number of tenants.
TEST_CASE("tenants without requests for the longest time are forgotten") {
  ManualClock clock;
  TenantUse use(100);
  for (int i = 0; i < 10'000; ++i) {
    clock.Advance(milliseconds(1));
    use.OnRequest("tenant-" + std::to_string(i), clock.Now());
    use.OnRequest("frequent", clock.Now());
  }
  CHECK(use.size() <= 100);
  CHECK(use.UsualFraction("frequent", clock.Now()) == 1);
}

// Guards against costs and refusals in deployments without tenants.
TEST_CASE("without tenants nothing is limited or counted") {
  ManualClock clock;
  TenantAdmission admission(1);
  admission.SetRoutes(RoutesOf({}));
  TenantName none;
  for (int i = 0; i < 100; ++i) {
    CHECK(admission.Admit({.servers = kServers, .tenant = none}, clock.Now()) ==
          FairShareDecision::kAdmitFirst);
    CHECK_FALSE(admission.OnTurnedAway(kServers, clock.Now()));
    admission.OnRefused("any");
    clock.Advance(milliseconds(5));
  }
  CHECK(admission.overloaded() == 0);
  CHECK(admission.refusals().Top(20).empty());
}

// Guards against metrics whose number of labels grows with the number of tenants, and against a
// tenant with many refusals that is missing among them.
TEST_CASE("the tenants with the most refusals are known in bounded memory") {
  TenantRefusals refusals;
  for (int i = 0; i < 5000; ++i) {
    refusals.OnRefused("tenant-" + std::to_string(i));
    if (i % 5 == 0) refusals.OnRefused("first");
    if (i % 10 == 0) refusals.OnRefused("second");
  }
  auto top = refusals.Top(20);
  REQUIRE(top.size() == 20);
  CHECK(top[0].first == "first");
  CHECK(top[1].first == "second");
}

}  // namespace
}  // namespace damaskroute
