#include <doctest/doctest.h>

#include "damaskroute/core/error_text.h"
#include "fmt/format.h"
#include "platform/config_codec.h"
#include "platform/entry_codec.h"
#include "platform/platform.h"
#include "platform/settings_file.h"
#include "platform/store_codec.h"

namespace damaskroute::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r-1","host":"Pupu.Example","prefix":"/a/","type":"idempotent",)"
    R"("timeoutMs":1200,"targetLatencyMs":80,"priority":2,"fanout":["s1","s2"],"maxAttempts":2,)"
    R"("topK":5,"minCoverage":0.75},{"name":"r-2","host":"b","prefix":"/","type":"non_idempotent",)"
    R"("timeoutMs":900,"trafficSplit":[{"service":"x","weight":3},{"service":"y","weight":1}]}],)"
    R"("services":[{"name":"s1","healthPath":"/h","maxConnections":31,"warmupS":3.5,"coldPerS":2}],)"
    R"("limits":{"maxHeaderBytes":8192,"idleTimeoutMs":5000},"unknown":[1]})";

TEST_CASE("each field of the configuration is decoded into the matching member") {
  auto document = ParseConfig(kConfig);
  REQUIRE(document.ok());
  CHECK(document->version == 7);
  REQUIRE(document->routes.size() == 2);
  const Route& query = document->routes[0];
  CHECK(query.host == "pupu.example");
  CHECK(query.idempotent);
  CHECK(query.timeout == milliseconds(1200));
  CHECK(query.objective == milliseconds(80));
  CHECK(query.priority == 2);
  CHECK(query.max_attempts == 2);
  CHECK(query.shards == std::vector<ServiceName>{"s1", "s2"});
  CHECK(query.top_records == 5);
  CHECK(query.min_coverage == 0.75);
  const Route& split = document->routes[1];
  CHECK_FALSE(split.idempotent);
  REQUIRE(split.targets.size() == 2);
  CHECK(split.targets[0].weight == 3);
  const ServicePolicy& policy = document->services.at("s1");
  CHECK(policy.max_connections == 31);
  CHECK(policy.warmup == milliseconds(3500));
  CHECK(policy.cold_rate == 2);
  CHECK(document->client_limits.max_header_bytes == 8192);
  CHECK(document->client_limits.idle_timeout == milliseconds(5000));
  CHECK(document->client_limits.max_body_bytes == ClientLimits().max_body_bytes);
}

TEST_CASE("an invalid configuration is rejected with an error that names the field") {
  struct Row {
    const char* json;
    const char* error;
  };
  for (const Row& row : {
           Row{"{", "not valid JSON"},
           Row{"[]", "not a JSON object"},
           Row{R"({"routes":[]})", "version"},
           Row{R"({"version":"7"})", "version"},
           Row{R"({"version":7.5})", "version"},
           Row{R"({"version":1,"routes":{}})", "routes"},
           Row{R"({"version":1,"routes":[7]})", "not a JSON object"},
           Row{R"({"version":1,"routes":[{"name":"a","host":"b","prefix":"/","type":"idempotent",)"
               R"("timeoutMs":-1,"service":"x"}]})",
               "timeoutMs"},
           Row{R"({"version":1,"routes":[{"name":"a","host":"b","prefix":"/","type":"idempotent",)"
               R"("timeoutMs":1}]})",
               "service"},
           Row{R"({"version":1,"routes":[{"name":"a","host":"b","prefix":"/","type":"idempotent",)"
               R"("timeoutMs":1,"fanout":[1]}]})",
               "fanout"},
           Row{R"({"version":1,"services":[{"name":"a","maxConnections":1e99}]})",
               "maxConnections"},
           Row{R"({"version":1,"services":[{"name":"a","warmupS":-4}]})", "warmupS"},
           Row{R"({"version":1,"limits":{"maxBodyBytes":0}})", "maxBodyBytes"},
       }) {
    CAPTURE(row.json);
    auto document = ParseConfig(row.json);
    REQUIRE_FALSE(document.ok());
    CHECK(ErrorText(document.status()).find(row.error) != std::string::npos);
  }
}

TEST_CASE("a server entry is decoded, and an invalid one is rejected") {
  std::string valid =
      R"({"service":"s1","address":"10.128.0.9:8080","zone":"a","version":"v1","capacity":3,)"
      R"("state":"draining","warmupLeftMs":1500,"sequence":4,"born":1790000000000})";
  auto entry = ParseEntry("i-1", valid);
  REQUIRE(entry.ok());
  CHECK(entry->id == "i-1");
  CHECK(entry->service == "s1");
  CHECK(entry->endpoint == Endpoint{"10.128.0.9", 8080});
  CHECK(entry->slots == 3);
  CHECK(entry->draining);
  CHECK(entry->warmup_left == milliseconds(1500));
  CHECK(entry->sequence == 4);
  CHECK(entry->incarnation == 1790000000000);
  for (const char* field :
       {"service", "address", "zone", "version", "capacity", "state", "warmupLeftMs", "sequence"}) {
    std::string broken = valid;
    broken.replace(broken.find(fmt::format("\"{}", field)), 2, "\"_");
    CAPTURE(field);
    CHECK_FALSE(ParseEntry("i-1", broken).ok());
  }
  for (const char* json : {"", "\xff\xfe", "null", R"({"service":1})"}) {
    CHECK_FALSE(ParseEntry("i-1", json).ok());
  }
  std::string unknown_state = valid;
  unknown_state.replace(unknown_state.find("draining"), 8, "resting!");
  CHECK_FALSE(ParseEntry("i-1", unknown_state).ok());
  std::string no_address = valid;
  no_address.replace(no_address.find("10.128.0.9:8080"), 15, "somewhere.local");
  CHECK_FALSE(ParseEntry("i-1", no_address).ok());
}

TEST_CASE("store pages are decoded with removals, and kinds of failures are distinguished") {
  StoreCodec codec;
  auto page = codec.ParseWatch(200, R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,)"
                                    R"("created":412,"lease":0},{"key":"b","revision":413,)"
                                    R"("removed":true}],"asOf":413})");
  REQUIRE(page.ok());
  REQUIRE(page->items.size() == 2);
  CHECK(page->items[0].value == "node-1");
  CHECK_FALSE(page->items[0].removed);
  CHECK(page->items[1].removed);
  CHECK(page->as_of == 413);
  CHECK(absl::IsOutOfRange(codec.ParseWatch(410, "{}").status()));
  CHECK(absl::IsUnavailable(codec.ParseWatch(429, "{}").status()));
  CHECK_FALSE(codec.ParseRead(200, R"({"items":[{"key":"a","value":"?"}],"asOf":1})").ok());
  CHECK_FALSE(codec.ParseRead(200, R"({"items":[]})").ok());
  auto first = codec.ParseRead(200, R"({"items":[],"hasMore":true,"asOf":5})");
  REQUIRE(first.ok());
  CHECK(first->has_more);
}

TEST_CASE("leases are decoded, and an expired lease is distinguished from a failed call") {
  StoreCodec codec;
  auto lease = codec.ParseLease(200, R"({"lease":77120,"ttlMs":3000})");
  REQUIRE(lease.ok());
  CHECK(lease->id == 77120);
  CHECK(lease->ttl == milliseconds(3000));
  CHECK(absl::IsNotFound(codec.ParseAck(404)));
  CHECK(absl::IsUnavailable(codec.ParseAck(503)));
  CHECK(codec.ParseAck(200).ok());
}

TEST_CASE("store keys are classified by prefix") {
  Platform platform;
  CHECK(platform.ParseKey("op/config").kind == StoreEntryKind::kRouting);
  CHECK(platform.ParseKey("servers/i-1").kind == StoreEntryKind::kBackend);
  CHECK(platform.ParseKey("servers/i-1").name == "i-1");
  CHECK(platform.ParseKey("op/evacuate/zone-a").name == "zone-a");
  CHECK(platform.ParseKey("damaskroute/nodes/n").kind == StoreEntryKind::kNode);
  CHECK(platform.ParseKey("other").kind == StoreEntryKind::kOther);
}

constexpr char kSettings[] = R"(nodeName: "edge-bogota-a-1"
zone: "bogota-a"
ip: "10.1.0.9"
newField: {a: 1}
listenAddrs:
  frontend: "10.1.0.9:8104"
  ready: "10.1.0.9:8108"
internalPorts:
  - 7380
  - 7395
bounds:
  contactMs: 5000
  configApplyMs: 2500
  drainMs: 2000
  graceS: 7
  retryBudgetRatio: 0.3
  budgetWindowS: 20
  retryBudgetSlack: 99
platform:
  address: "10.200.1.7:8102"
)";

TEST_CASE("the settings file is decoded, and unknown fields are ignored") {
  auto settings = ParseSettings("node.yaml", kSettings);
  REQUIRE(settings.ok());
  CHECK(settings->node == "edge-bogota-a-1");
  CHECK(settings->callers == Endpoint{"10.1.0.9", 8104});
  CHECK(settings->ready == Endpoint{"10.1.0.9", 8108});
  CHECK(settings->metrics == Endpoint{"10.1.0.9", 7380});
  CHECK(settings->store == Endpoint{"10.200.1.7", 8102});
  CHECK(settings->contact_bound == milliseconds(5000));
  CHECK(settings->config_bound == milliseconds(2500));
  CHECK(settings->drain_bound == milliseconds(2000));
  CHECK(settings->grace == milliseconds(7000));
  CHECK(settings->budget_ratio == 0.3);
  CHECK(settings->budget_window == milliseconds(20'000));
  CHECK(settings->budget_slack == 99);
}

TEST_CASE("an error in the settings file is reported with file and line") {
  for (const char* field : {"nodeName", "zone", "frontend", "ready", "address"}) {
    std::string text = kSettings;
    text.replace(text.find(fmt::format("{}:", field)), 1, "_");
    CAPTURE(field);
    auto settings = ParseSettings("node.yaml", text);
    REQUIRE_FALSE(settings.ok());
    CHECK(ErrorText(settings.status()).find("node.yaml:") == 0);
  }
  std::string text = kSettings;
  text.replace(text.find("graceS: 7"), 9, "graceS: x");
  CHECK_FALSE(ParseSettings("node.yaml", text).ok());
  CHECK_FALSE(ParseSettings("node.yaml", "a: [").ok());
}

}  // namespace
}  // namespace damaskroute::platform
