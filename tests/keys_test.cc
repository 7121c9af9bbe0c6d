#include <doctest/doctest.h>

#include <limits>

#include "damaskroute/core/error_text.h"
#include "damaskroute/keys/authentication.h"
#include "damaskroute/keys/check_tenants.h"
#include "damaskroute/keys/configuration_age.h"
#include "damaskroute/node/forward_server.h"
#include "damaskroute/node/peer_request.h"
#include "damaskroute/relay/relayed_page.h"
#include "damaskroute/routing/route_table.h"
#include "damaskroute/store/feed_schedule.h"
#include "fmt/format.h"
#include "platform/config_codec.h"

// API keys of tenants and the age of the configuration that holds them.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RoutingDocument Document(std::vector<Tenant> tenants) {
  RoutingDocument document;
  document.has_tenants = true;
  document.tenants = std::move(tenants);
  return document;
}

TEST_CASE("each key of thousands of tenants finds its tenant, and no other key finds one") {
  std::vector<Tenant> tenants;
  for (int i = 0; i < 5000; ++i) {
    tenants.push_back({fmt::format("t{}", i), {fmt::format("k{}", i), fmt::format("old{}", i)}});
  }
  KeyTable table(Document(tenants));
  for (int i = 0; i < 5000; ++i) {
    for (const char* prefix : {"k", "old"}) {
      const Tenant* found = table.Find(fmt::format("{}{}", prefix, i));
      REQUIRE(found != nullptr);
      REQUIRE(found->name == fmt::format("t{}", i));
      REQUIRE(found->api_keys.empty());
    }
    REQUIRE(table.Find(fmt::format("new{}", i)) == nullptr);
  }
  CHECK(table.Find("") == nullptr);
}

// Guards against keys that stay readable in the memory of a node for as long as its routes.
TEST_CASE("the routes in force do not contain keys") {
  RouteTable routes(Document({{"acme", {"k-1"}}}));
  CHECK(routes.document().tenants.at(0).api_keys.empty());
  CHECK(routes.keys().Find("k-1")->name == "acme");
}

TEST_CASE("only one well-formed header with a known key passes on a route that is not public") {
  KeyTable table(Document({{"acme", {"k-1"}}, {"other", {"k-2"}}}));
  Route closed;
  Route open;
  open.is_public = true;
  struct Row {
    std::vector<HeaderField> headers;
    const char* tenant;
  };
  for (const Row& row : std::vector<Row>{
           {{{"Authorization", "Token k-1"}}, "acme"},
           {{{"authorization", "tOKEN  k-2"}}, "other"},
           {{}, nullptr},
           {{{"X-Authorization", "Token k-1"}}, nullptr},
           {{{"Authorization", "Token k-3"}}, nullptr},
           {{{"Authorization", "Token"}}, nullptr},
           {{{"Authorization", "Token "}}, nullptr},
           {{{"Authorization", ""}}, nullptr},
           {{{"Authorization", "k-1"}}, nullptr},
           {{{"Authorization", "Tokenk-1"}}, nullptr},
           {{{"Authorization", "Token\tk-1"}}, nullptr},
           {{{"Authorization", "Bearer k-1"}}, nullptr},
           {{{"Authorization", "Token k-1 k-1"}}, nullptr},
           {{{"Authorization", "Token k-1, Token k-1"}}, nullptr},
           {{{"Authorization", "Token k-1"}, {"authorization", "Token k-1"}}, nullptr},
       }) {
    CAPTURE(row.headers.empty() ? "none" : row.headers.front().value);
    auto result = Authenticate(row.headers, closed, table, "Token");
    auto on_open = Authenticate(row.headers, open, table, "Token");
    CHECK((result.refusal == nullptr) == (row.tenant != nullptr));
    CHECK(on_open.refusal == nullptr);
    for (const Tenant* tenant : {result.tenant, on_open.tenant}) {
      CHECK((tenant == nullptr) == (row.tenant == nullptr));
      if (tenant != nullptr && row.tenant != nullptr) CHECK(tenant->name == row.tenant);
    }
  }
}

// Guards against a configuration that is half applied, and against keys in the log, where the error
// is written.
TEST_CASE("invalid tenants make the whole configuration unusable, with an error without keys") {
  auto parse = [](const std::string& tenants) {
    return platform::ParseConfig(fmt::format(R"({{"version":1,"tenants":{}}})", tenants));
  };
  REQUIRE(parse(R"([{"name":"a","apiKeys":["k1","k2","k1"],"priority":3},{"name":"b"}])").ok());
  CHECK(parse("[]")->has_tenants);
  CHECK_FALSE(platform::ParseConfig(R"({"version":1})")->has_tenants);
  for (const char* tenants : {
           R"({"name":"a"})",
           R"([{"apiKeys":["secret"]}])",
           R"([{"name":"","apiKeys":["secret"]}])",
           R"([{"name":"a\r\nX: y","apiKeys":["secret"]}])",
           R"([{"name":"a","apiKeys":["secret"]},{"name":"a"}])",
           R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])",
           R"([{"name":"a","apiKeys":[""]}])",
           R"([{"name":"a","apiKeys":["secret ket"]}])",
           R"([{"name":"a","apiKeys":["secret\u0001"]}])",
           R"([{"name":"a","apiKeys":["secret\u007f"]}])",
           R"([{"name":"a","apiKeys":["secret",7]}])",
           R"([{"name":"a","apiKeys":"secret"}])",
           R"([{"name":"a","apiKeys":["secret"],"ratePerS":-1}])",
           R"([{"name":"a","apiKeys":["secret"],"ratePerS":1e999}])",
           R"([{"name":"a","apiKeys":["secret"],"burst":-0.5}])",
           R"([{"name":"a","apiKeys":["secret"],"burst":"1"}])",
           R"([{"name":"a","apiKeys":["secret"],"priority":-1}])",
       }) {
    CAPTURE(std::string(tenants));
    auto document = parse(tenants);
    REQUIRE_FALSE(document.ok());
    CHECK(ErrorText(document.status()).find("secret") == std::string::npos);
  }
  Tenant endless{"a", {}, {}, std::numeric_limits<double>::infinity()};
  CHECK_FALSE(CheckTenants({endless}).ok());
}

TEST_CASE("a tenant's priority takes precedence over the priority of the route") {
  RoutingDocument document =
      Document({{"first", {}, 0}, {"second", {}, 1}, {"last", {}, 9}, {"none", {}}});
  document.routes.resize(2);
  document.routes[0].shards = document.routes[1].shards = {"s0"};
  document.routes[0].priority = 2;
  document.routes[1].priority = 0;
  RouteTable routes(document);
  const Route& slow = routes.document().routes[0];
  const Route& fast = routes.document().routes[1];
  const auto& tenants = routes.keys().tenants();
  CHECK(routes.IsUrgent(slow, &tenants[0]));
  CHECK_FALSE(routes.IsUrgent(fast, &tenants[1]));
  CHECK_FALSE(routes.IsUrgent(fast, &tenants[2]));
  CHECK(routes.IsUrgent(fast, &tenants[3]));
  CHECK_FALSE(routes.IsUrgent(slow, &tenants[3]));
  // If all tenants have a priority, the routes' priorities reserve nothing.
  document.tenants = {{"second", {}, 1}, {"last", {}, 9}};
  RouteTable without(document);
  CHECK(without.IsUrgent(without.document().routes[0], &without.keys().tenants()[0]));
}

// Guards against requests that are refused during an upgrade because two builds hash a route
// differently, and against a node without keys that runs a request for one that checks them.
TEST_CASE("the fingerprint of a route differs from earlier builds only if it uses new fields") {
  Route route = {.name = "r"};
  constexpr std::uint64_t kOfEarlierBuild = 11575421713392249804U;
  CHECK(RouteFingerprint(route) == kOfEarlierBuild);
  Route open = route;
  open.is_public = true;
  CHECK(RouteFingerprint(open) != RouteFingerprint(route));
  CHECK(KeyedRouteFingerprint(route) != RouteFingerprint(route));
}

constexpr Duration kStart = std::chrono::hours(5);

TEST_CASE("the age of a configuration counts from what a response proves") {
  ConfigurationAge age;
  CHECK_FALSE(age.At(kStart));
  age.OnChanges(kStart);
  // The response may have waited in a socket buffer for any time.
  CHECK(age.At(kStart + seconds(10)) == seconds(10));
  age.OnNoChanges(kStart + seconds(1), milliseconds(3000), kStart + seconds(4));
  CHECK(age.At(kStart + seconds(5)) == seconds(1));
  // A watch that ended early was not held, and one that comes late may have ended early.
  age.OnNoChanges(kStart + seconds(5), milliseconds(3000), kStart + seconds(6));
  CHECK(age.At(kStart + seconds(6)) == seconds(1));
  age.OnNoChanges(kStart + seconds(7), milliseconds(3000), kStart + seconds(17));
  CHECK(age.At(kStart + seconds(17)) == seconds(10));
  // An older response proves nothing that is not known.
  age.OnChanges(kStart + seconds(2));
  CHECK(age.At(kStart + seconds(17)) == seconds(10));
}

TEST_CASE("the age does not advance while the newest configuration is unusable") {
  ConfigurationAge age;
  age.OnChanges(kStart);
  age.SetUsable(false);
  age.OnChanges(kStart + seconds(3));
  age.OnFollowedNode(kStart + seconds(3), seconds(0), kStart + seconds(3));
  CHECK(age.At(kStart + seconds(3)) == seconds(3));
  age.SetUsable(true);
  age.OnNoChanges(kStart + seconds(4), milliseconds(0), kStart + seconds(4));
  CHECK(age.At(kStart + seconds(4)) == seconds(0));
}

TEST_CASE("the age of a followed node is increased by the whole round trip") {
  ConfigurationAge age;
  age.OnFollowedNode(kStart, milliseconds(200), kStart + seconds(2));
  CHECK(age.At(kStart + seconds(2)) == milliseconds(2200));
  // The node held the request for 1.5 s and was told then that its configuration is the newest.
  age.OnFollowedNode(kStart + seconds(2), -milliseconds(1500), kStart + seconds(4));
  CHECK(age.At(kStart + seconds(4)) == milliseconds(500));
  // No stated age makes a configuration certain in the future.
  age.OnFollowedNode(kStart + seconds(4), -seconds(60), kStart + seconds(5));
  CHECK(age.At(kStart + seconds(6)) == seconds(1));
}

// The steady clock stops while a machine is suspended: the age that is used to choose the followed
// node then lacks the suspended time, so it must not decide about keys.
TEST_CASE("time for which the machine was suspended during a request counts") {
  constexpr seconds kSuspended{10};
  RelayedPage page;
  TimePoint sent = ManualClock().Now();
  CHECK(AgeOnArrival(page, sent, sent + milliseconds(5)) < seconds(1));
  ConfigurationAge age;
  age.OnFollowedNode(kStart, seconds(0), kStart + kSuspended + milliseconds(5));
  CHECK(*age.At(kStart + kSuspended + milliseconds(5)) > kSuspended);
}

// A store that takes `latency` for a call and changes every `interval`, followed as the node does.
struct FollowedStore {
  static constexpr seconds kBound{5};

  static FeedOptions Options() {
    ForwardNodeSettings settings;
    settings.revocation_bound = kBound;
    return MakeFeedOptions(settings);
  }

  // Runs for `time` and returns the greatest age.
  Duration Run(Duration time) {
    Duration oldest{};
    schedule.OnPage("last", false, 1, clock.Now());
    age.OnChanges(Boot());
    TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      schedule.SetRefreshBy(clock.Now() + options.max_configuration_age - *age.At(Boot()));
      FeedStep step = schedule.Next(clock.Now());
      if (step.kind == FeedStepKind::kPause) {
        clock.Advance(step.until - clock.Now());
        continue;
      }
      REQUIRE(step.kind == FeedStepKind::kWatch);
      Duration sent = Boot();
      ++calls;
      while (next_change + interval < clock.Now()) next_change += interval, changed = true;
      TimePoint held_until = clock.Now() + latency / 2 + step.wait;
      bool returns_change = changed || next_change <= held_until;
      TimePoint arrival = clock.Now() + latency / 2;
      if (returns_change) held_until = changed ? arrival : std::max(next_change, arrival);
      if (returns_change) next_change = held_until + interval;
      changed = false;
      clock.Advance(held_until - clock.Now() + latency / 2);
      oldest = std::max(oldest, *age.At(Boot()));
      schedule.OnChanges({returns_change ? 1U : 0U}, ++revision, clock.Now());
      if (returns_change) {
        age.OnChanges(sent);
      } else {
        age.OnNoChanges(sent, step.wait, Boot());
      }
    }
    return oldest;
  }

  Duration Boot() const { return clock.Now().time_since_epoch(); }

  FollowedStore(milliseconds call_latency, milliseconds change_interval)
      : latency(call_latency), interval(change_interval) {}

  milliseconds latency;
  milliseconds interval;
  FeedOptions options = Options();
  FeedSchedule schedule{options, 1};
  ManualClock clock;
  ConfigurationAge age;
  TimePoint next_change = clock.Now();
  bool changed = false;
  std::uint64_t revision = 1;
  int calls = 0;
};

// Guards against refusals in normal operation: a watch that returns a change late proves only the
// time when it was sent, and the pause and the next watch come on top.
TEST_CASE("no node that reaches a slow store has a configuration that is too old for keys") {
  for (int interval = 10; interval < 8000; interval += 37) {
    CAPTURE(interval);
    FollowedStore store(milliseconds(240), milliseconds(interval));
    CHECK(store.Run(seconds(120)) <= store.options.max_configuration_age);
  }
}

// Each call has a price. Against a store that is followed without the bound.
TEST_CASE("the bound on revocation adds few calls to the store") {
  for (milliseconds interval : {milliseconds(std::chrono::hours(1)), milliseconds(300)}) {
    FollowedStore free(milliseconds(5), interval);
    free.options.max_configuration_age = std::chrono::hours(1);
    free.Run(seconds(600));
    FollowedStore limited(milliseconds(5), interval);
    limited.Run(seconds(600));
    CHECK(limited.calls <= free.calls * 1.02);
  }
}

TEST_CASE("without a bound on revocation the store is followed as before") {
  FeedOptions options = MakeFeedOptions(ForwardNodeSettings());
  CHECK(options.max_configuration_age == milliseconds(0));
  FeedSchedule schedule(options, 1);
  ManualClock clock;
  schedule.OnPage("last", false, 7, clock.Now());
  CHECK(schedule.Next(clock.Now()).wait == options.watch_wait);
}

// Guards against a node that reads 70 pages of a slow store and refuses all keys meanwhile.
TEST_CASE("directives are read between the pages of a long read before the age is reached") {
  FeedSchedule schedule(FollowedStore::Options(), 1);
  ManualClock clock;
  schedule.SetRefreshBy(clock.Now() + seconds(2));
  schedule.OnPage("key-1", true, 10, clock.Now());
  CHECK(schedule.Next(clock.Now()).kind == FeedStepKind::kRead);
  clock.Advance(seconds(1));
  CHECK(schedule.Next(clock.Now()).kind == FeedStepKind::kReadDirectives);
  schedule.OnDirectives(clock.Now());
  // Even if the directives did not help.
  CHECK(schedule.Next(clock.Now()).kind == FeedStepKind::kRead);
  CHECK(schedule.Next(clock.Now()).after_key == "key-1");
}

// Guards against nodes that stay with a followed node whose configuration nobody can vouch for.
TEST_CASE("a followed node without a recent configuration is replaced, at last by the store") {
  FeedSchedule schedule(FollowedStore::Options(), 1);
  ManualClock clock;
  schedule.OnPage("last", false, 7, clock.Now());
  schedule.SetRelays(2);
  REQUIRE(schedule.Next(clock.Now()).kind == FeedStepKind::kFollow);
  schedule.OnRelayChanges(8, Duration::zero(), clock.Now(), /*is_certain=*/false);
  REQUIRE(schedule.Next(clock.Now()).kind == FeedStepKind::kFollow);
  CHECK(schedule.Next(clock.Now()).relay == 1);
  schedule.OnRelayChanges(8, Duration::zero(), clock.Now(), /*is_certain=*/false);
  CHECK(schedule.Next(clock.Now()).kind == FeedStepKind::kWatch);
}

}  // namespace
}  // namespace damaskroute
