#include "damaskroute/node/forwarding_state.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::seconds;

struct Fixture {
  asio::io_context loop;
  ForwardingState forwarding_state{loop, BackendTableOptions{.local_zone = "a"},
                                   BackendClientOptions{}, 1};

  void Put(const std::string& id, const std::string& service, const std::string& zone,
           bool draining = false) {
    BackendEntry entry;
    entry.id = id;
    entry.service = service;
    entry.zone = zone;
    entry.draining = draining;
    forwarding_state.OnBackend(entry);
  }

  bool AwaitsServers() const {
    return forwarding_state.ExpectsReturningServers(SteadyClock().Now());
  }
};

TEST_CASE("a shard whose second server's entry expired awaits its return for a limited time") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  CHECK_FALSE(f.AwaitsServers());
  f.forwarding_state.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK(f.AwaitsServers());
  CHECK_FALSE(f.forwarding_state.ExpectsReturningServers(SteadyClock().Now() + seconds(30)));
  f.Put("two", "shard", "b");
  CHECK_FALSE(f.AwaitsServers());
}

TEST_CASE(
    "a server that was draining is not awaited, so planned maintenance costs no calls to the "
    "store") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  f.Put("two", "shard", "b", /*draining=*/true);
  f.forwarding_state.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK_FALSE(f.AwaitsServers());
}

TEST_CASE("a service with two servers left awaits none, as calls to the store have a cost") {
  Fixture f;
  for (const char* id : {"one", "two", "three"}) f.Put(id, "shard", "a");
  f.forwarding_state.OnBackendRemoved("three", /*after_outage=*/false);
  CHECK_FALSE(f.AwaitsServers());
  f.forwarding_state.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK(f.AwaitsServers());
}

TEST_CASE("the return of a closed zone and of an unreachable server is awaited") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  f.forwarding_state.OnZoneClosed("b", /*revision=*/1);
  CHECK(f.AwaitsServers());
  f.forwarding_state.OnZoneOpened("b");
  CHECK_FALSE(f.AwaitsServers());
  auto now = SteadyClock().Now();
  auto server = f.forwarding_state.backends().Find("one");
  server->call_stats.OnSent(now);
  server->call_stats.OnEnded(now, CallObservation::kUnreachable, std::chrono::milliseconds(20),
                             now);
  CHECK(f.AwaitsServers());
}

// Guards against a probe that reports its result to a destroyed table of backend servers, when the
// node exits during the probe. The lookup in the destroyed map never returned
// (deploy/days/ends.toml).
TEST_CASE("a probe that finishes after the forwarding state was destroyed has no effect") {
  asio::io_context loop;
  asio::ip::tcp::acceptor server(loop, {asio::ip::address_v4::loopback(), 0});
  auto forwarding_state = std::make_unique<ForwardingState>(
      loop, BackendTableOptions{.local_zone = "a"}, BackendClientOptions{}, 1);
  BackendEntry entry;
  entry.id = std::string("one");
  entry.service = std::string("shard");
  entry.zone = std::string("a");
  entry.endpoint = {std::string("127.0.0.1"), server.local_endpoint().port()};
  forwarding_state->OnBackend(entry);
  auto backend = forwarding_state->backends().Find("one");
  auto now = SteadyClock().Now();
  backend->call_stats.OnSent(now);
  backend->call_stats.OnEnded(now, CallObservation::kUnreachable, std::chrono::milliseconds(20),
                              now);
  forwarding_state->prober().OnUnreachable(backend);
  // The delay of the probe expires and it starts to connect; the result is not processed yet.
  REQUIRE(loop.run_one() == 1);
  CHECK(forwarding_state->prober().size() == 1);
  forwarding_state.reset();
  loop.restart();
  loop.run_for(seconds(1));
  CHECK(backend->call_stats.is_unreachable());
}

}  // namespace
}  // namespace damaskroute
