#include "damaskroute/node/forward_beliefs.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::seconds;

struct Fixture {
  asio::io_context loop;
  ForwardBeliefs beliefs{loop, BackendTableOptions{.own_zone = "a"}, BackendClientOptions{}, 1};

  void Put(const std::string& id, const std::string& service, const std::string& zone,
           bool draining = false) {
    BackendEntry entry;
    entry.id = id;
    entry.service = service;
    entry.zone = zone;
    entry.draining = draining;
    beliefs.OnBackend(entry);
  }

  bool Misses() const { return beliefs.MissesServers(SteadyClock().Now()); }
};

TEST_CASE("a shard whose second server lapsed awaits it, for a while") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  CHECK_FALSE(f.Misses());
  f.beliefs.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK(f.Misses());
  CHECK_FALSE(f.beliefs.MissesServers(SteadyClock().Now() + seconds(30)));
  f.Put("two", "shard", "b");
  CHECK_FALSE(f.Misses());
}

TEST_CASE("a server that said that it leaves is not awaited, so planned work costs no calls") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  f.Put("two", "shard", "b", /*draining=*/true);
  f.beliefs.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK_FALSE(f.Misses());
}

TEST_CASE("a service with two servers left awaits none, as calls to the store are priced") {
  Fixture f;
  for (const char* id : {"one", "two", "three"}) f.Put(id, "shard", "a");
  f.beliefs.OnBackendRemoved("three", /*after_outage=*/false);
  CHECK_FALSE(f.Misses());
  f.beliefs.OnBackendRemoved("two", /*after_outage=*/false);
  CHECK(f.Misses());
}

TEST_CASE("the return of a closed zone and of a server that is not reached is awaited") {
  Fixture f;
  f.Put("one", "shard", "a");
  f.Put("two", "shard", "b");
  f.beliefs.SetClosedZones({"b"});
  CHECK(f.Misses());
  f.beliefs.SetClosedZones({});
  CHECK_FALSE(f.Misses());
  auto now = SteadyClock().Now();
  auto server = f.beliefs.backends().Find("one");
  server->evidence.OnSent(now);
  server->evidence.OnEnded(now, EvidenceOf::kUnreachable, std::chrono::milliseconds(20), now);
  CHECK(f.Misses());
}

// A node that ended while it probed a server told a table of backend servers that was gone, and
// searched its map for ever (deploy/days/ends.toml).
TEST_CASE("a probe that ends after the node's beliefs are gone touches nothing") {
  asio::io_context loop;
  asio::ip::tcp::acceptor server(loop, {asio::ip::address_v4::loopback(), 0});
  auto beliefs = std::make_unique<ForwardBeliefs>(loop, BackendTableOptions{.own_zone = "a"},
                                                  BackendClientOptions{}, 1);
  BackendEntry entry;
  entry.id = std::string("one");
  entry.service = std::string("shard");
  entry.zone = std::string("a");
  entry.endpoint = {std::string("127.0.0.1"), server.local_endpoint().port()};
  beliefs->OnBackend(entry);
  auto backend = beliefs->backends().Find("one");
  auto now = SteadyClock().Now();
  backend->evidence.OnSent(now);
  backend->evidence.OnEnded(now, EvidenceOf::kUnreachable, std::chrono::milliseconds(20), now);
  beliefs->prober().OnUnreachable(backend);
  // The probe's pause ends and it starts to connect, and nothing more.
  REQUIRE(loop.run_one() == 1);
  CHECK(beliefs->prober().size() == 1);
  beliefs.reset();
  loop.restart();
  loop.run_for(seconds(1));
  CHECK(backend->evidence.is_unreachable());
}

}  // namespace
}  // namespace damaskroute
