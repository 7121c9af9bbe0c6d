#include "platform/rollout_codec.h"

#include <doctest/doctest.h>

#include "platform/store_codec.h"

namespace damaskroute::platform {
namespace {

// Guards against a decision or evidence that other nodes read differently from how it was written.
TEST_CASE("records and reports are read as they were written") {
  RolloutRecord record{
      7,    "v\"2",     RolloutState::kRollingBack, std::chrono::milliseconds(40), "n-1",
      "v1", {"v0", "x"}};
  CHECK(*ParseRolloutRecord(RenderRolloutRecord(record)) == record);
  RolloutReport report{7, 9, std::chrono::milliseconds(5), RolloutState::kPromoting, 3, {}};
  report.evidence.Add("r", 2, true, true, Duration::zero());
  report.evidence.Add("", 6, false, false, std::chrono::milliseconds(70));
  auto read = ParseRolloutReport(RenderRolloutReport(report));
  REQUIRE(read.ok());
  CHECK(read->evidence == report.evidence);
  CHECK(read->seen == report.seen);
  CHECK(read->process == 9);
  CHECK(read->open_calls == 3);
}

// Guards against a node that ends, or counts nonsense, on bytes that are no report.
TEST_CASE("damaged records and reports are rejected") {
  for (const char* cell :
       {"[]", R"(["r",7,1,1,1,[]])", R"(["r",0,1,2,1,[]])", R"(["r",0,1,1,0,[40,1]])",
        R"(["r",0,1,1,0,[-1,1]])", R"([1,0,1,1,1,[]])", "7"}) {
    CAPTURE(cell);
    std::string json = R"({"order":1,"process":1,"ageMs":1,"seen":"running","openCalls":0,)"
                       R"("evidence":[)" +
                       std::string(cell) + "]}";
    CHECK_FALSE(ParseRolloutReport(json).ok());
  }
  CHECK_FALSE(ParseRolloutRecord(R"({"order":1,"targetVersion":"v","state":"x","ageMs":1,)"
                                 R"("holder":"n"})")
                  .ok());
}

// Guards against an unconditional write of the status, with which a late write of a former holder
// would replace a decision.
TEST_CASE("a record is written with its status under the conditions of record and order") {
  StoreCodec codec;
  RolloutWrite write{"s", 4, 5, {5, "v2", RolloutState::kRolledBack, {}, "n", {}, {}}, true, {"m"}};
  std::string text = codec.RenderWriteRollout({"127.0.0.1", 1}, write);
  CHECK(text.find(R"("expectedRev":[{"key":"damaskroute/rollouts/s","revision":4},)"
                  R"({"key":"op/rollout/s","revision":5}])") != std::string::npos);
  CHECK(text.find(R"("key":"status/rollout/s")") != std::string::npos);
  CHECK(text.find(R"("deletes":["damaskroute/rollouts/s/m"])") != std::string::npos);
  CHECK(absl::IsAborted(codec.ParseConditionalWrite(412, "{}").status()));
  CHECK(absl::IsUnavailable(codec.ParseConditionalWrite(503, "{}").status()));
  CHECK(*codec.ParseConditionalWrite(200, R"({"revision":412})") == 412);
  auto items = codec.ParseConflict(R"({"items":[{"key":"a","revision":0},)"
                                   R"({"key":"b","revision":3,"value":"eA=="}]})");
  REQUIRE(items.size() == 2);
  CHECK(items[0].removed);
  CHECK_FALSE(items[1].removed);
  CHECK(items[1].value == "x");
}

}  // namespace
}  // namespace damaskroute::platform
