#include "damaskroute/node/quota_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "damaskroute/core/boot_clock.h"
#include "damaskroute/node/forward_node_settings.h"
#include "fmt/format.h"
#include "standins/non_ephemeral_endpoint.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Nodes whose exchanges run on one loop over loopback addresses.
struct Exchanges {
  explicit Exchanges(int count) {
    QuotaOptions options = MakeQuotaOptions({milliseconds(5000), 0.1, 20}, milliseconds(100));
    for (int i = 0; i < count; ++i) {
      NodeName name = "n" + std::to_string(i);
      view.counted.push_back(name);
      view.endpoints[name] = standins::NonEphemeralEndpoint();
      nodes.push_back(std::make_unique<QuotaExchange>(loop, name, view.endpoints[name],
                                                      MakeQuotaIncarnation(name), options,
                                                      [this] { return view; }));
      REQUIRE(nodes.back()->Start().ok());
    }
  }

  // Takes a token, and waits for the verdict.
  QuotaVerdict Take(std::size_t node, const TenantName& tenant) {
    std::optional<QuotaVerdict> result;
    nodes[node]->Take(tenant, [&](const QuotaVerdict& verdict) { result = verdict; });
    while (!result) loop.run_one_for(std::chrono::seconds(1));
    return *result;
  }

  // Takes tokens until one is granted.
  void AwaitGrant(std::size_t node, const TenantName& tenant) {
    while (Take(node, tenant).outcome != QuotaOutcome::kGranted) loop.run_for(milliseconds(20));
  }

  asio::io_context loop{1};
  QuotaExchange::View view;
  std::vector<std::unique_ptr<QuotaExchange>> nodes;
};

}  // namespace

TEST_CASE("exchanges over UDP grant, refuse and take over from a node that ends") {
  // Guards against messages that one side does not understand and timers that are not set.
  Exchanges exchanges(3);
  std::vector<Tenant> tenants;
  for (int i = 0; i < 8; ++i) {
    tenants.push_back({.name = fmt::format("t{}", i), .rate_per_s = 20, .burst = 1});
  }
  for (auto& node : exchanges.nodes) node->SetTenants(tenants);
  CHECK(exchanges.nodes[0]->HasQuota("t0"));
  CHECK(!exchanges.nodes[0]->HasQuota("other"));
  CHECK(!exchanges.nodes[0]->HasQuota(""));
  for (std::size_t i = 0; i < tenants.size(); ++i) exchanges.AwaitGrant(i % 3, tenants[i].name);

  QuotaVerdict verdict = exchanges.Take(1, "t1");
  for (int i = 0; i < 10'000 && verdict.outcome == QuotaOutcome::kGranted; ++i) {
    verdict = exchanges.Take(1, "t1");
  }
  CHECK(verdict.outcome == QuotaOutcome::kOverQuota);
  CHECK(verdict.retry_after > milliseconds(0));

  // Two nodes end, and the third one coordinates all tenants.
  exchanges.nodes[1].reset();
  exchanges.nodes[2].reset();
  for (const Tenant& tenant : tenants) exchanges.AwaitGrant(0, tenant.name);
  CHECK(exchanges.nodes[0]->LeasedFraction() == doctest::Approx(1.0 / 3));
}

TEST_CASE("a withdrawn request gets no verdict and its token serves another one") {
  // Guards against callbacks into requests that have ended, and against lost tokens.
  Exchanges exchanges(1);
  exchanges.nodes[0]->SetTenants({{.name = "t", .rate_per_s = 0.001, .burst = 0}});
  int verdicts = 0;
  auto waiter = exchanges.nodes[0]->Take("t", [&](const QuotaVerdict&) { ++verdicts; });
  exchanges.nodes[0]->Cancel("t", waiter);
  CHECK(exchanges.nodes[0]->waiting() == 0);
  exchanges.loop.run_for(milliseconds(100));
  CHECK(verdicts == 0);
  exchanges.nodes[0]->Return("t", TimeSinceBoot() + std::chrono::seconds(10));
  CHECK(exchanges.Take(0, "t").outcome == QuotaOutcome::kGranted);
}

TEST_CASE("any bytes on the port are ignored") {
  // Guards against a crash by datagrams of other programs.
  Exchanges exchanges(1);
  exchanges.nodes[0]->SetTenants({{.name = "t", .rate_per_s = 100, .burst = 5}});
  asio::ip::udp::socket socket(exchanges.loop, {asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint& to = exchanges.view.endpoints["n0"];
  std::mt19937_64 random(1);
  constexpr int kDatagrams = 200;
  for (int i = 0; i < kDatagrams; ++i) {
    std::string bytes(random() % 900, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    if (bytes.size() > 2 && i % 2 == 0) {
      bytes[0] = '\xd1';
      bytes[1] = static_cast<char>(i / 2 % 5);
    }
    socket.send_to(asio::buffer(bytes), {asio::ip::make_address(to.address), to.port});
    exchanges.loop.poll();
  }
  while (exchanges.nodes[0]->counters().datagrams_received < kDatagrams) {
    exchanges.loop.run_one_for(milliseconds(100));
  }
  CHECK(exchanges.nodes[0]->counters().malformed == kDatagrams);
}

}  // namespace damaskroute
