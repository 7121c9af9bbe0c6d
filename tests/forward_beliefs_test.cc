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

}  // namespace
}  // namespace damaskroute
