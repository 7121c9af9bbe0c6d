#include "damaskroute/intent/commit_resolver.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <functional>
#include <set>

#include "damaskroute/core/hash.h"
#include "damaskroute/intent/config_log.h"
#include "fmt/format.h"
#include "tests/fake_config_store.h"

namespace damaskroute {
namespace {

using Fault = FakeConfigStore::Fault;

ConfigDocument Document(int backends, int slots = 2) {
  ConfigDocument document;
  document.zones.push_back({"a", "north", ZoneState::kServing});
  Service service{"desk", "shop", std::chrono::seconds(2), {}};
  for (int i = 0; i < backends; ++i) {
    service.backends.push_back({fmt::format("desk-{:05d}", i),
                                "a",
                                {fmt::format("127.0.{}.{}", i / 250, i % 250), 9000},
                                slots,
                                1,
                                30,
                                BackendIntent::kServing});
  }
  document.services.push_back(service);
  return document;
}

CommitRequest Request(Revision base, const std::string& change_id, const ConfigDocument& document,
                      ChunkSizes sizes = {}) {
  return {base, change_id, "summary " + change_id, {}, SplitChunks(*EncodeConfig(document), sizes)};
}

// Replaces REQUIRE, which is too slow for the millions of states that the explorer visits.
void Ensure(bool condition, const char* what) {
  if (!condition) FAIL(std::string(what));
}

void Commit(FakeConfigStore& store, const CommitRequest& request) {
  CommitOutcome outcome = RunCommit(store, CommitResolver(request), [](int) {});
  Ensure(outcome.result == CommitResult::kCommitted, "a commit without faults succeeds");
}

int TotalWrites(const FakeConfigStore& store) {
  int total = 0;
  for (const auto& [key, count] : store.writes()) total += count;
  return total;
}

// Checks the invariants that hold after every write regardless of faults: the head is readable, its
// document is complete, and each key has been written exactly as often as expected.
void CheckVisibleState(const FakeConfigStore& store, Revision& last_revision) {
  FakeConfigStore copy = store;
  copy.set_fault(Fault::kNone);
  absl::StatusOr<VersionedHead> head = ReadHead(copy);
  Ensure(head.ok(), "the head is readable");
  Ensure(head->head.revision() >= last_revision, "the revision never decreases");
  last_revision = head->head.revision();
  bool complete = last_revision == 0 || ReadDocument(copy, head->head.entries.back()).ok();
  Ensure(complete, "the document in force is complete");
  for (const auto& [key, count] : store.writes()) {
    int expected = key == kConfigHeadKey ? static_cast<int>(last_revision) : 1;
    Ensure(count == expected, "nothing is written twice");
  }
}

int CountChange(const FakeConfigStore& store, const std::string& change_id) {
  FakeConfigStore copy = store;
  int count = 0;
  ConfigHead head = ReadHead(copy)->head;
  for (const HeadEntry& entry : head.entries) count += entry.change_id == change_id;
  return count;
}

// An operator's commit with the responses that it received, which determine its state.
struct Operator {
  CommitResolver resolver;
  std::string responses;
};

// Explores every interleaving of the operators' steps, with each fault at each step up to a total
// number of faults, and with delayed writes applied at each later point. A state that is reached by
// several paths is explored once.
class Explorer {
 public:
  using Check = std::function<void(const FakeConfigStore&, const std::vector<CommitOutcome>&)>;

  explicit Explorer(Check check) : check_(std::move(check)) {}

  void Explore(const FakeConfigStore& store, const std::vector<Operator>& operators, int faults,
               Revision last_revision) {
    if (!IsNew(store, operators, faults)) return;
    bool all_done = true;
    for (std::size_t i = 0; i < operators.size(); ++i) {
      if (operators[i].resolver.done()) continue;
      all_done = false;
      bool swap = std::holds_alternative<SwapValue>(operators[i].resolver.step());
      Step(store, operators, i, Fault::kNone, faults, last_revision);
      if (faults == 0) continue;
      Step(store, operators, i, Fault::kUnavailable, faults - 1, last_revision);
      if (!swap) continue;
      for (Fault fault : {Fault::kLostResponse, Fault::kLostRequest, Fault::kDelayed}) {
        Step(store, operators, i, fault, faults - 1, last_revision);
      }
    }
    if (store.has_delayed_writes()) {
      FakeConfigStore next = store;
      next.DeliverDelayedWrites();
      if (TotalWrites(next) != TotalWrites(store)) CheckVisibleState(next, last_revision);
      Explore(next, operators, faults, last_revision);
    } else if (all_done) {
      ++final_states_;
      std::vector<CommitOutcome> outcomes;
      for (const Operator& each : operators) {
        outcomes.push_back(std::get<CommitOutcome>(each.resolver.step()));
      }
      check_(store, outcomes);
    }
  }

  std::int64_t final_states() const { return final_states_; }
  std::size_t states() const { return seen_.size(); }
  std::int64_t steps() const { return steps_; }

 private:
  bool IsNew(const FakeConfigStore& store, const std::vector<Operator>& operators, int faults) {
    std::string state = fmt::format("{}\n{}", faults, store.State());
    for (const Operator& each : operators) state += each.responses;
    return seen_.insert(Hash64(state)).second;
  }

  void Step(const FakeConfigStore& store, const std::vector<Operator>& operators, std::size_t index,
            Fault fault, int faults, Revision last_revision) {
    ++steps_;
    FakeConfigStore next_store = store;
    std::vector<Operator> next = operators;
    next_store.set_fault(fault);
    PerformStep(next_store, next[index].resolver);
    next[index].responses += fmt::format("{}: {}\n", index, next_store.last_response());
    if (TotalWrites(next_store) != TotalWrites(store)) CheckVisibleState(next_store, last_revision);
    Explore(next_store, next, faults, last_revision);
  }

  Check check_;
  std::set<std::uint64_t> seen_;
  std::int64_t final_states_ = 0;
  std::int64_t steps_ = 0;
};

// An outcome is correct if it agrees with the history after all delayed writes have been applied.
void CheckOutcome(const FakeConfigStore& store, const CommitOutcome& outcome,
                  const std::string& change_id) {
  int count = CountChange(store, change_id);
  Ensure(count <= 1, "a change takes effect at most once");
  bool committed = outcome.result == CommitResult::kCommitted;
  bool unknown = outcome.result == CommitResult::kUnknown;
  Ensure(unknown || committed == (count == 1), "the outcome agrees with the history");
}

TEST_CASE(
    "every fault at every step of one commit gives a correct outcome and a complete document") {
  FakeConfigStore store;
  Commit(store, Request(0, "first", Document(1)));
  // Small chunks, so that the commit writes several.
  CommitRequest request = Request(1, "mine", Document(3, 3), {16, 64, 128});
  REQUIRE(request.chunks.size() >= 2);
  for (int max_failures : {1, 2, 8}) {
    int unknown = 0;
    int unavailable = 0;
    Explorer explorer([&](const FakeConfigStore& end, const std::vector<CommitOutcome>& outcomes) {
      CheckOutcome(end, outcomes[0], "mine");
      // With fewer faults than the limit, the commit must succeed.
      bool must_succeed = max_failures == 8;
      Ensure(!must_succeed || outcomes[0].result == CommitResult::kCommitted,
             "the commit succeeds");
      unknown += outcomes[0].result == CommitResult::kUnknown;
      unavailable += outcomes[0].result == CommitResult::kUnavailable;
      // Confirming again resolves every unknown outcome.
      FakeConfigStore repeated = end;
      Commit(repeated, request);
      Ensure(CountChange(repeated, "mine") == 1, "a repeated commit takes effect once");
    });
    explorer.Explore(store, {{CommitResolver(request, max_failures), ""}}, 3, 0);
    std::printf(
        "one operator, limit %d failures: %lld steps, %lld final states, %d unavailable, %d "
        "unknown\n",
        max_failures, static_cast<long long>(explorer.steps()),
        static_cast<long long>(explorer.final_states()), unavailable, unknown);
    // Guards against an exploration that stops early.
    CHECK(explorer.final_states() > 100);
  }
}

TEST_CASE(
    "of two concurrent commits with lost responses exactly one succeeds and both outcomes are "
    "correct") {
  FakeConfigStore store;
  Commit(store, Request(0, "first", Document(1)));
  CommitResolver a(Request(1, "a", Document(2)));
  CommitResolver b(Request(1, "b", Document(3)));
  Explorer explorer([&](const FakeConfigStore& end, const std::vector<CommitOutcome>& outcomes) {
    CheckOutcome(end, outcomes[0], "a");
    CheckOutcome(end, outcomes[1], "b");
    bool a_committed = outcomes[0].result == CommitResult::kCommitted;
    bool b_committed = outcomes[1].result == CommitResult::kCommitted;
    Ensure(a_committed != b_committed, "exactly one is committed");
    Ensure(outcomes[a_committed ? 1 : 0].result == CommitResult::kConflict,
           "the other one is a conflict");
    Ensure(CountChange(end, "a") + CountChange(end, "b") == 1, "the history has one change");
    FakeConfigStore copy = end;
    Ensure(ReadHead(copy)->head.revision() == 2, "there is one new revision");
  });
  explorer.Explore(store, {{a, ""}, {b, ""}}, 3, 0);
  std::printf("two operators, up to 3 faults: %lld steps, %zu states, %lld final states\n",
              static_cast<long long>(explorer.steps()), explorer.states(),
              static_cast<long long>(explorer.final_states()));
  CHECK(explorer.final_states() > 1000);
}

TEST_CASE("two operators who confirm the same plan commit one revision") {
  FakeConfigStore store;
  CommitRequest request = Request(0, "same", Document(1));
  Explorer explorer([&](const FakeConfigStore& end, const std::vector<CommitOutcome>& outcomes) {
    for (const CommitOutcome& outcome : outcomes) {
      Ensure(outcome.result == CommitResult::kCommitted, "both are committed");
      Ensure(outcome.revision == 1, "both have the same revision");
    }
    Ensure(CountChange(end, "same") == 1, "the history has one change");
  });
  explorer.Explore(store, {{CommitResolver(request), ""}, {CommitResolver(request), ""}}, 2, 0);
  std::printf("same plan twice, up to 2 faults: %lld steps, %lld final states\n",
              static_cast<long long>(explorer.steps()),
              static_cast<long long>(explorer.final_states()));
}

TEST_CASE(
    "a document above 1 MB is stored in values below 1 MB and a change rewrites few of them") {
  FakeConfigStore store;
  ConfigDocument document = Document(25'000);
  std::size_t size = EncodeConfig(document)->size();
  REQUIRE(size > 1'000'000);
  Commit(store, Request(0, "first", document));
  std::size_t keys = store.values().size();
  document.services[0].backends.erase(document.services[0].backends.begin() + 9000);
  Commit(store, Request(1, "second", document));
  for (const auto& [key, stored] : store.values()) CHECK(stored.value.size() < 1'000'000);
  // The chunk with the backend server, the one with the count of its service, and the manifest.
  CHECK(store.values().size() - keys <= 4);
  absl::StatusOr<VersionedHead> head = ReadHead(store);
  ConfigDocument read = *ReadDocument(store, head->head.entries.back());
  CHECK(read.revision == 2);
  CHECK(read.change_id == "second");
  CHECK(read.services == document.services);
  std::printf("%zu bytes in %zu values, %zu new values for one change\n", size, keys - 1,
              store.values().size() - keys);
}

TEST_CASE("a rollback is a new revision that reuses the stored chunks") {
  FakeConfigStore store;
  Commit(store, Request(0, "first", Document(1)));
  Commit(store, Request(1, "second", Document(2)));
  std::size_t keys = store.values().size();
  ConfigHead head = ReadHead(store)->head;
  ConfigDocument old = *ReadDocument(store, *head.Find(1));
  old.revision = 0;
  old.change_id.clear();
  Commit(store, Request(2, "back", old));
  CHECK(store.values().size() == keys);
  head = ReadHead(store)->head;
  CHECK(head.revision() == 3);
  CHECK(ReadDocument(store, head.entries.back())->services == Document(1).services);
}

TEST_CASE("an outcome older than the history is reported as unknown, never as a conflict") {
  FakeConfigStore store;
  CommitRequest lost = Request(0, "lost", Document(1));
  for (Revision base = 0; base <= kMaxHeadEntries; ++base) {
    Commit(store, Request(base, base == 0 ? "lost" : fmt::format("c{}", base), Document(1)));
  }
  ConfigHead head = ReadHead(store)->head;
  CHECK(head.entries.size() == kMaxHeadEntries);
  CHECK(head.Find(1) == nullptr);
  CHECK(EncodeHead(head).size() < 1'000'000);
  CommitOutcome outcome = RunCommit(store, CommitResolver(lost), [](int) {});
  CHECK(outcome.result == CommitResult::kUnknown);
}

TEST_CASE("a commit to an unavailable store fails after a bounded number of attempts") {
  CommitResolver resolver(Request(0, "mine", Document(1)), 3);
  int attempts = 0;
  while (!resolver.done()) {
    resolver.OnRead(absl::UnavailableError("store down"), "", 0);
    ++attempts;
  }
  CHECK(attempts == 4);
  CommitOutcome outcome = std::get<CommitOutcome>(resolver.step());
  CHECK(outcome.result == CommitResult::kUnavailable);
  CHECK(outcome.detail ==
        "the store did not answer: store down; nothing has changed, confirm again later");
}

TEST_CASE("corrupt values in the store are refused") {
  FakeConfigStore store;
  Commit(store, Request(0, "first", Document(1)));
  HeadEntry entry = ReadHead(store)->head.entries.back();
  std::string key = kConfigChunkPrefix + entry.manifest;
  REQUIRE(store.CompareAndSwap(key, 1, "other").ok());
  CHECK(ReadDocument(store, entry).status().code() == absl::StatusCode::kDataLoss);
  for (const char* text : {"", "{}", "[1]", "[{\"revision\":0}]", "[", "[[[["}) {
    CHECK_FALSE(DecodeHead(text).ok());
  }
  CHECK_FALSE(DecodeManifest("abc\n").ok());
}

}  // namespace
}  // namespace damaskroute
