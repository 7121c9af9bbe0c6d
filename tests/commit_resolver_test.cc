#include "damaskroute/intent/commit_resolver.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <functional>
#include <set>

#include "damaskroute/core/hash.h"
#include "damaskroute/intent/config_log.h"
#include "fmt/format.h"
#include "tests/fake_log_store.h"

namespace damaskroute {
namespace {

using Fault = FakeLogStore::Fault;

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

// Like REQUIRE, which is too slow for the millions of states that the explorer visits.
void Ensure(bool condition, const char* what) {
  if (!condition) FAIL(std::string(what));
}

void Commit(FakeLogStore& store, const CommitRequest& request) {
  CommitOutcome outcome = RunCommit(store, CommitResolver(request), [](int) {});
  Ensure(outcome.result == CommitResult::kCommitted, "a commit without faults succeeds");
}

int TotalWrites(const FakeLogStore& store) {
  int total = 0;
  for (const auto& [key, count] : store.writes()) total += count;
  return total;
}

// What holds after every write, whatever the faults: the head is readable, its document complete,
// and no key was written more often than it should.
void CheckVisibleState(const FakeLogStore& store, Revision& last_revision) {
  FakeLogStore copy = store;
  copy.set_fault(Fault::kNone);
  absl::StatusOr<VersionedHead> head = ReadHead(copy);
  Ensure(head.ok(), "the head is readable");
  Ensure(head->head.revision() >= last_revision, "the revision never decreases");
  last_revision = head->head.revision();
  bool whole = last_revision == 0 || ReadDocument(copy, head->head.entries.back()).ok();
  Ensure(whole, "the document in force is complete");
  for (const auto& [key, count] : store.writes()) {
    int expected = key == kConfigHeadKey ? static_cast<int>(last_revision) : 1;
    Ensure(count == expected, "nothing is written twice");
  }
}

int CountChange(const FakeLogStore& store, const std::string& change_id) {
  FakeLogStore copy = store;
  int count = 0;
  ConfigHead head = ReadHead(copy)->head;
  for (const HeadEntry& entry : head.entries) count += entry.change_id == change_id;
  return count;
}

// An operator's commit with the answers that it got, which determine its state.
struct Operator {
  CommitResolver resolver;
  std::string answers;
};

// Explores each order of the operators' steps, with each fault at each step up to a number of
// faults, and with late writes arriving at each later moment. A state that is reached on several
// ways is explored once.
class Explorer {
 public:
  using Check = std::function<void(const FakeLogStore&, const std::vector<CommitOutcome>&)>;

  explicit Explorer(Check check) : check_(std::move(check)) {}

  void Explore(const FakeLogStore& store, const std::vector<Operator>& operators, int faults,
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
      for (Fault fault : {Fault::kLostAnswer, Fault::kLostRequest, Fault::kLate}) {
        Step(store, operators, i, fault, faults - 1, last_revision);
      }
    }
    if (store.has_late()) {
      FakeLogStore next = store;
      next.DeliverLate();
      if (TotalWrites(next) != TotalWrites(store)) CheckVisibleState(next, last_revision);
      Explore(next, operators, faults, last_revision);
    } else if (all_done) {
      ++ends_;
      std::vector<CommitOutcome> outcomes;
      for (const Operator& each : operators) {
        outcomes.push_back(std::get<CommitOutcome>(each.resolver.step()));
      }
      check_(store, outcomes);
    }
  }

  std::int64_t ends() const { return ends_; }
  std::size_t states() const { return seen_.size(); }
  std::int64_t steps() const { return steps_; }

 private:
  bool IsNew(const FakeLogStore& store, const std::vector<Operator>& operators, int faults) {
    std::string state = fmt::format("{}\n{}", faults, store.State());
    for (const Operator& each : operators) state += each.answers;
    return seen_.insert(Hash64(state)).second;
  }

  void Step(const FakeLogStore& store, const std::vector<Operator>& operators, std::size_t index,
            Fault fault, int faults, Revision last_revision) {
    ++steps_;
    FakeLogStore next_store = store;
    std::vector<Operator> next = operators;
    next_store.set_fault(fault);
    PerformStep(next_store, next[index].resolver);
    next[index].answers += fmt::format("{}: {}\n", index, next_store.last_answer());
    if (TotalWrites(next_store) != TotalWrites(store)) CheckVisibleState(next_store, last_revision);
    Explore(next_store, next, faults, last_revision);
  }

  Check check_;
  std::set<std::uint64_t> seen_;
  std::int64_t ends_ = 0;
  std::int64_t steps_ = 0;
};

// A report is true when it agrees with the history after all late writes arrived.
void CheckReport(const FakeLogStore& store, const CommitOutcome& outcome,
                 const std::string& change_id) {
  int count = CountChange(store, change_id);
  Ensure(count <= 1, "a change takes effect at most once");
  bool committed = outcome.result == CommitResult::kCommitted;
  bool unknown = outcome.result == CommitResult::kUnknown;
  Ensure(unknown || committed == (count == 1), "the report agrees with the history");
}

TEST_CASE("every fault at every step of one commit leaves a true report and a whole document") {
  FakeLogStore store;
  Commit(store, Request(0, "first", Document(1)));
  // Tiny chunks, so that the commit has several of them.
  CommitRequest request = Request(1, "mine", Document(3, 3), {16, 64, 128});
  REQUIRE(request.chunks.size() >= 2);
  for (int max_failures : {1, 2, 8}) {
    int unknown = 0;
    int unavailable = 0;
    Explorer explorer([&](const FakeLogStore& end, const std::vector<CommitOutcome>& outcomes) {
      CheckReport(end, outcomes[0], "mine");
      // With fewer faults than the limit the commit must succeed.
      bool must_succeed = max_failures == 8;
      Ensure(!must_succeed || outcomes[0].result == CommitResult::kCommitted, "must commit");
      unknown += outcomes[0].result == CommitResult::kUnknown;
      unavailable += outcomes[0].result == CommitResult::kUnavailable;
      // Confirming again resolves every unclear outcome.
      FakeLogStore repeated = end;
      Commit(repeated, request);
      Ensure(CountChange(repeated, "mine") == 1, "a repeat commits once");
    });
    explorer.Explore(store, {{CommitResolver(request, max_failures), ""}}, 3, 0);
    std::printf(
        "one operator, limit %d failures: %lld steps, %lld ends, %d unavailable, %d unknown\n",
        max_failures, static_cast<long long>(explorer.steps()),
        static_cast<long long>(explorer.ends()), unavailable, unknown);
    // Guards against an exploration that ends early.
    CHECK(explorer.ends() > 100);
  }
}

TEST_CASE("of two racing operators with lost answers exactly one wins and both reports are true") {
  FakeLogStore store;
  Commit(store, Request(0, "first", Document(1)));
  CommitResolver a(Request(1, "a", Document(2)));
  CommitResolver b(Request(1, "b", Document(3)));
  Explorer explorer([&](const FakeLogStore& end, const std::vector<CommitOutcome>& outcomes) {
    CheckReport(end, outcomes[0], "a");
    CheckReport(end, outcomes[1], "b");
    bool a_won = outcomes[0].result == CommitResult::kCommitted;
    bool b_won = outcomes[1].result == CommitResult::kCommitted;
    Ensure(a_won != b_won, "exactly one wins");
    Ensure(outcomes[a_won ? 1 : 0].result == CommitResult::kConflict, "the other is refused");
    Ensure(CountChange(end, "a") + CountChange(end, "b") == 1, "one change in the history");
    FakeLogStore copy = end;
    Ensure(ReadHead(copy)->head.revision() == 2, "one new revision");
  });
  explorer.Explore(store, {{a, ""}, {b, ""}}, 3, 0);
  std::printf("two operators, up to 3 faults: %lld steps, %zu states, %lld ends\n",
              static_cast<long long>(explorer.steps()), explorer.states(),
              static_cast<long long>(explorer.ends()));
  CHECK(explorer.ends() > 1000);
}

TEST_CASE("two operators who confirm the same plan share one revision") {
  FakeLogStore store;
  CommitRequest request = Request(0, "same", Document(1));
  Explorer explorer([&](const FakeLogStore& end, const std::vector<CommitOutcome>& outcomes) {
    for (const CommitOutcome& outcome : outcomes) {
      Ensure(outcome.result == CommitResult::kCommitted, "both are committed");
      Ensure(outcome.revision == 1, "as the same revision");
    }
    Ensure(CountChange(end, "same") == 1, "one change in the history");
  });
  explorer.Explore(store, {{CommitResolver(request), ""}, {CommitResolver(request), ""}}, 2, 0);
  std::printf("same plan twice, up to 2 faults: %lld steps, %lld ends\n",
              static_cast<long long>(explorer.steps()), static_cast<long long>(explorer.ends()));
}

TEST_CASE("a document above 1 MB is stored in values below 1 MB and a change rewrites little") {
  FakeLogStore store;
  ConfigDocument document = Document(25'000);
  std::size_t size = EncodeConfig(document)->size();
  REQUIRE(size > 1'000'000);
  Commit(store, Request(0, "first", document));
  std::size_t keys = store.values().size();
  document.services[0].backends.erase(document.services[0].backends.begin() + 9000);
  Commit(store, Request(1, "second", document));
  for (const auto& [key, stored] : store.values()) CHECK(stored.value.size() < 1'000'000);
  // The chunk with the backend server, the one with its service's count, and the chunk list.
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
  FakeLogStore store;
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
  FakeLogStore store;
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

TEST_CASE("a store that is down gives unavailable after a bounded number of tries") {
  CommitResolver resolver(Request(0, "mine", Document(1)), 3);
  int tries = 0;
  while (!resolver.done()) {
    resolver.OnRead(absl::UnavailableError("store down"), "", 0);
    ++tries;
  }
  CHECK(tries == 4);
  CommitOutcome outcome = std::get<CommitOutcome>(resolver.step());
  CHECK(outcome.result == CommitResult::kUnavailable);
  CHECK(outcome.detail ==
        "the store did not answer: store down; nothing has changed, confirm again later");
}

TEST_CASE("altered or damaged values in the store are refused") {
  FakeLogStore store;
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
