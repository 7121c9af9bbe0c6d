#include <doctest/doctest.h>

#include <string>

#include "tests/support/platform_fixture.h"

// Limits by tenant in a node with stand-ins for the servers. The shares themselves are tested in
// `tests/tenant_admission_test.cc`.

namespace damaskroute {
namespace {

using platform::ServerMode;

constexpr char kGauge[] = "damaskroute_forward_limited_by_tenant";

// The routes of the fixture, public, with one tenant.
std::string ConfigWithTenant(int version) {
  std::string text = PlatformFixture::Config(version);
  std::string tenants = R"("tenants":[{"name":"press","apiKeys":["key-1"]}],)";
  text.insert(text.find("\"routes\""), tenants);
  const std::string priority = R"("priority":1,)";
  for (auto at = text.find(priority); at != std::string::npos;
       at = text.find(priority, at + priority.size())) {
    text.insert(at, R"("public":true,)");
    at += priority.size();
  }
  return text;
}

std::string Metrics(const PlatformFixture& fixture) {
  return PlatformFixture::Client(*fixture.settings.metrics).Call("GET", "/metrics").body;
}

// Guards against plain requests whose servers have too little capacity and which are refused
// regardless of their tenants, and against limits that stay when the servers have capacity again.
TEST_CASE("a service whose servers shed calls is limited by tenant, and serves again afterwards") {
  PlatformFixture fixture;
  fixture.store.Write(platform::kConfigKey, ConfigWithTenant(2));
  auto& server = fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Get("/one/x").status == 200);
  CHECK(Metrics(fixture).find(std::string(kGauge) + " 0") != std::string::npos);
  server.SetMode(ServerMode::kShed);
  auto refused = fixture.Get("/one/x", "id-2");
  CHECK(refused.status == 503);
  CHECK_FALSE(refused["Retry-After"].empty());
  CHECK(Metrics(fixture).find(std::string(kGauge) + " 1") != std::string::npos);
  server.SetMode(ServerMode::kAnswer);
  CHECK(PlatformFixture::Await([&] { return fixture.Get("/one/x", "id-3").status == 200; }));
}

// Guards against clients that lower the shares of all tenants by requests that cannot be served.
TEST_CASE("a request with too little time does not count as a lack of capacity") {
  PlatformFixture fixture;
  fixture.store.Write(platform::kConfigKey, ConfigWithTenant(2));
  fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Get("/one/x", "id-1", /*deadline_ms=*/1).status >= 500);
  CHECK(Metrics(fixture).find(std::string(kGauge) + " 0") != std::string::npos);
}

// Guards against state and metrics of tenants in deployments that have none.
TEST_CASE("without tenants a service whose servers shed calls is not limited by tenant") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  server.SetMode(ServerMode::kShed);
  CHECK(fixture.Get("/one/x").status == 503);
  CHECK(Metrics(fixture).find("tenant") == std::string::npos);
}

}  // namespace
}  // namespace damaskroute
