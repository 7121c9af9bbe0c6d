#include "standins/platform_standin.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "damaskroute/core/time.h"
#include "fmt/format.h"
#include "standins/key_value_table.h"
#include "standins/loop_thread.h"
#include "tests/http_test_client.h"

namespace damaskroute::standins {
namespace {

using std::chrono::seconds;
using Response = HttpTestClient::Response;

struct Platform {
  Platform() : standin(loop, {"127.0.0.1", 0}, {}) { REQUIRE(standin.Start().ok()); }
  void Control(const std::string& json) { REQUIRE(standin.Control(json).ok()); }
  Response Call(const std::string& method, const std::string& target,
                const HttpTestClient::Headers& headers = {}, const std::string& body = "") {
    return HttpTestClient(standin.endpoint()).Call(method, target, headers, body);
  }
  Response Put(const std::string& key, const std::string& if_version, const std::string& value,
               const std::string& lease = "0") {
    return Call("PUT", "/kv/" + key, {{"If-Version", if_version}, {"Lease", lease}}, value);
  }

  LoopThread loop;
  PlatformStandin standin;
};

TEST_CASE("keys are removed when their lease ends, and written again with a greater version") {
  ManualClock clock;
  KeyValueTable table;
  std::uint64_t lease = table.GrantLease(clock.Now(), seconds(10));
  std::uint64_t version = *table.Put("a", 0, "x", lease);
  REQUIRE(table.Put("b", 0, "y", 0).ok());
  clock.Advance(seconds(9));
  CHECK(table.RenewLease(lease, clock.Now()));
  clock.Advance(seconds(9));
  CHECK(table.Expire(clock.Now()).empty());
  CHECK(table.NextExpiry() == clock.Now() + seconds(1));
  clock.Advance(seconds(1));
  CHECK_FALSE(table.RenewLease(lease, clock.Now()));
  CHECK(table.Expire(clock.Now()) == std::vector<std::string>{"a"});
  CHECK(table.Get("a") == nullptr);
  CHECK(table.Get("b") != nullptr);
  CHECK(absl::IsNotFound(table.Put("a", 0, "x", lease).status()));
  CHECK(*table.Put("a", 0, "x", 0) > version);
}

TEST_CASE("a write with an outdated version fails and returns the current version") {
  Platform platform;
  std::string version = platform.Put("k", "0", "v")["Version"];
  CHECK(version != "0");
  Response conflict = platform.Put("k", "0", "w");
  CHECK(conflict.status == 412);
  CHECK(conflict["Version"] == version);
  CHECK(platform.Put("none", "5", "w")["Version"] == "0");
  CHECK(platform.Call("GET", "/kv/k").body == "v");
  CHECK(platform.Call("GET", "/kv/k")["Version"] == version);
}

TEST_CASE("malformed calls have no effect") {
  Platform platform;
  CHECK(platform.Put("k", "", "v").status == 400);
  CHECK(platform.Put("k", "-1", "v").status == 400);
  CHECK(platform.Put("", "0", "v").status == 400);
  CHECK(platform.Put("%zz", "0", "v").status == 400);
  CHECK(platform.Put("%4", "0", "v").status == 400);
  CHECK(platform.Put("k", "0", "v", "x").status == 400);
  CHECK(platform.Put("k", "0", std::string(1'000'001, 'x')).status == 413);
  CHECK(platform.Call("GET", "/kv/k?watch=0").status == 400);
  CHECK(platform.Call("POST", "/leases", {}, "{}").status == 400);
  CHECK(platform.Call("POST", "/leases/x/renew").status == 400);
  CHECK(platform.Call("GET", "/none").status == 404);
  CHECK(platform.standin.Stats().written == 0);
}

TEST_CASE("leases are granted, renewed and ended over HTTP, and a watch reports the removed key") {
  Platform platform;
  Response granted = platform.Call("POST", "/leases", {}, R"({"ttl_ms":60000})");
  CHECK(granted.body == R"({"lease":1})");
  std::string version = platform.Put("k", "0", "v", "1")["Version"];
  CHECK(platform.Call("POST", "/leases/1/renew").status == 200);
  HttpTestClient watcher(platform.standin.endpoint());
  watcher.Send("GET", "/kv/k?timeout_ms=60000&watch=" + version);
  while (platform.standin.Stats().pending_watches < 1) std::this_thread::yield();
  CHECK(platform.Call("DELETE", "/leases/1").status == 200);
  CHECK(watcher.Receive().status == 404);
  CHECK(platform.Call("POST", "/leases/1/renew").status == 404);
  CHECK(platform.Put("k", "0", "v", "1").status == 404);
}

TEST_CASE("a lease that is not renewed expires, and watches of its keys are notified") {
  Platform platform;
  platform.Call("POST", "/leases", {}, R"({"ttl_ms":20})");
  std::string version = platform.Put("k", "0", "v", "1")["Version"];
  // The key may already be removed. The watch responds 404 in either case, long before its timeout.
  CHECK(platform.Call("GET", "/kv/k?timeout_ms=60000&watch=" + version).status == 404);
}

TEST_CASE("a watch is removed when its client disconnects") {
  Platform platform;
  HttpTestClient watcher(platform.standin.endpoint());
  watcher.Send("GET", "/kv/k?watch=0&timeout_ms=600000");
  while (platform.standin.Stats().pending_watches < 1) std::this_thread::yield();
  watcher.Close();
  while (platform.standin.Stats().pending_watches > 0) std::this_thread::yield();
  CHECK(platform.standin.Stats().watches == 1);
}

TEST_CASE("calls are counted by kind, and reads and writes have separate rate limits") {
  Platform platform;
  platform.Control(R"({"reads_per_second":1})");
  int limited = 0;
  for (int i = 0; i < 50; ++i) limited += platform.Call("GET", "/vms").status == 429 ? 1 : 0;
  CHECK(limited > 0);
  CHECK(platform.Put("k", "0", "v").status == 200);
  PlatformStats stats = platform.standin.Stats();
  CHECK(stats.rate_limited == static_cast<std::uint64_t>(limited));
  CHECK(stats.vm_lists == 50);
  CHECK(stats.writes == 1);
  CHECK(stats.reads + stats.watches + stats.leases == 0);
}

TEST_CASE(
    "control and statistics stay available in an outage, and malformed messages are refused") {
  Platform platform;
  CHECK(platform.Call("POST", "/control", {}, R"({"refuse":true})").status == 200);
  CHECK(platform.Call("GET", "/kv/k").status == 503);
  CHECK(platform.Call("GET", "/control/stats").body.find(R"("outage":1)") != std::string::npos);
  for (const char* json : {"", "[]", R"({"refuse":1})", R"({"x":1})", R"({"lose_probability":2})",
                           R"({"vms":[{"name":"n"}]})", R"({"delay":"1"})"}) {
    CAPTURE(json);
    CHECK(platform.Call("POST", "/control", {}, json).status == 400);
  }
}

}  // namespace
}  // namespace damaskroute::standins
