#include "damaskroute/http/client_memory.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "damaskroute/node/descriptor_plan.h"

// Who is closed or refused when clients hold too much memory, and how descriptors are divided.

namespace damaskroute {
namespace {

using std::chrono::seconds;

constexpr std::size_t kLimit = std::size_t{1} << 20;
constexpr std::size_t kLarge = std::size_t{100} << 10;

struct Connections {
  // Adds a connection that holds `bytes`. Returns its number.
  std::size_t Add(std::size_t bytes, MemoryUse use) {
    std::size_t number = accounts.size();
    accounts.push_back(std::make_unique<ClientMemory::Account>(
        memory, [this, number] { evicted.push_back(number); }, now));
    held = accounts.back()->TryHold(bytes, use, now);
    return number;
  }

  std::shared_ptr<ClientMemory> memory = std::make_shared<ClientMemory>(kLimit);
  TimePoint now;
  bool held = false;  // Result of the last `Add`.
  std::vector<std::size_t> evicted;
  std::vector<std::unique_ptr<ClientMemory::Account>> accounts;
};

TEST_CASE("the connection that holds the most for the longest is closed first") {
  Connections c;
  c.Add(2 * kLarge, MemoryUse::kTransfer);
  c.now += seconds(5);
  for (int i = 0; i < 5; ++i) c.Add(kLarge, MemoryUse::kTransfer);
  CHECK(c.evicted.empty());
  c.Add(kLarge, MemoryUse::kTransfer);
  CHECK(c.held);
  REQUIRE_FALSE(c.evicted.empty());
  CHECK(c.evicted.front() == 0);
}

// Guards against memory that is never counted again because a chosen connection runs its request.
TEST_CASE("a connection that was told to close does not begin to serve") {
  Connections c;
  auto first = c.Add(2 * kLarge, MemoryUse::kTransfer);
  auto serving = c.Add(kLarge, MemoryUse::kTransfer);
  CHECK(c.accounts[serving]->TryServe(c.now));
  c.now += seconds(5);
  for (int i = 0; i < 50; ++i) c.Add(kLarge, MemoryUse::kServing);
  CHECK(c.evicted == std::vector<std::size_t>{first});
  CHECK_FALSE(c.accounts[first]->TryServe(c.now));
  CHECK(c.accounts[serving]->TryServe(c.now));
}

// Guards against readiness and metrics that get no answer while requests fill the memory.
TEST_CASE("an essential connection is served while the memory is used up") {
  Connections c;
  while (c.Add(4096, MemoryUse::kServing), c.held) {
  }
  bool closed = false;
  ClientMemory::Account essential(
      c.memory, [&closed] { closed = true; }, c.now, /*essential=*/true);
  CHECK(essential.TryHold(ClientMemory::kOrdinaryBytes, MemoryUse::kIdle, c.now));
  CHECK_FALSE(essential.TryHold(ClientMemory::kOrdinaryBytes + 1, MemoryUse::kTransfer, c.now));
  c.now += seconds(100);
  c.Add(kLarge, MemoryUse::kTransfer);
  CHECK_FALSE(closed);
}

TEST_CASE("idle connections are closed after transfers, and running requests never") {
  Connections c;
  auto idle = c.Add(kLarge, MemoryUse::kIdle);
  auto serving = c.Add(kLarge, MemoryUse::kServing);
  c.now += seconds(100);
  for (int i = 0; i < 50; ++i) c.Add(kLarge, MemoryUse::kServing);
  CHECK_FALSE(c.held);
  CHECK(c.evicted == std::vector<std::size_t>{idle});
  CHECK(serving != idle);
  CHECK(c.memory->refusals() > 0);
}

// Guards against small requests that are refused because large ones fill the memory.
TEST_CASE("large requests leave memory for ordinary ones") {
  Connections c;
  for (int i = 0; i < 50; ++i) c.Add(kLarge, MemoryUse::kServing);
  CHECK_FALSE(c.held);
  for (int i = 0; i < 10; ++i) {
    c.Add(ClientMemory::kOrdinaryBytes, MemoryUse::kServing);
    CHECK(c.held);
  }
}

// Guards against a limit that is exceeded while the connections that were told to close still hold
// their memory, or that all others are told to close for one request.
TEST_CASE("what leaving connections hold is not counted twice") {
  Connections c;
  for (int i = 0; i < 100; ++i) c.Add(kLarge, MemoryUse::kTransfer);
  std::size_t staying = c.accounts.size() - c.evicted.size();
  CHECK(staying * kLarge <= kLimit);
  CHECK(staying >= 5);
  c.accounts.clear();
  CHECK(c.memory->held() == 0);
  CHECK(c.memory->TakeReleased());
  CHECK_FALSE(c.memory->TakeReleased());
}

// Guards against parts of the plan that together exceed the limit of the machine.
TEST_CASE("the connections of all kinds stay within the descriptors") {
  for (int limit : {64, 128, 256, 1024, 65536}) {
    CAPTURE(limit);
    DescriptorPlan plan = DivideDescriptors(limit);
    std::size_t sum = plan.callers + plan.peer_callers + plan.followers + plan.readiness +
                      plan.metrics + plan.servers + plan.peers;
    CHECK(sum + 20 <= static_cast<std::size_t>(limit));
    CHECK(plan.callers >= 5);
    CHECK(plan.servers >= 5);
  }
}

}  // namespace
}  // namespace damaskroute
