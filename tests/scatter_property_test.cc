#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/scatter_fixture.h"

namespace damaskroute {
namespace {

ShardReply Mutate(ShardReply reply, int kind) {
  reply.rows =
      QueryRun::Row(999, reply.range);  // Detectable in the result if the reply is accepted.
  switch (kind) {
    case 0:
      reply.version += 1;
      break;
    case 1:
      reply.attempt += 1;
      break;
    case 2:
      reply.range.high += 1;
      break;
    case 3:
      reply.backend += "x";
      break;
    default:
      reply.call_id += 1;
      break;
  }
  return reply;
}

// Applies one random event, possibly a fault.
void Step(QueryRun& run, Fleet& fleet, int shards, Random& random) {
  std::vector<std::uint32_t> open = run.Open();
  std::uint32_t id = open.empty() ? 0 : open[random.Below(open.size())];
  switch (random.Below(12)) {
    case 0:
      return run.Timer(std::chrono::milliseconds(random.Below(8)));
    case 1:
      return run.LoseHolder(fmt::format("h{}", random.Below(3)));
    case 2: {
      IndexVersion newest = 1 + random.Below(3);
      for (int shard = 0; shard < shards; ++shard) {
        fleet.Report(shard, static_cast<int>(random.Below(2)), {newest, newest + 1},
                     static_cast<std::uint32_t>(random.Below(3)));
      }
      return run.ChangeView();
    }
    case 3:  // Late or duplicated reply to any call.
      if (run.calls.empty()) return;
      return run.Answer(static_cast<std::uint32_t>(random.Below(run.calls.size())));
    default:
      break;
  }
  if (open.empty()) return;
  if (random.Below(3) == 0) {
    static const ShardOutcome kFailures[] = {
        ShardOutcome::kVersionGone, ShardOutcome::kShed,           ShardOutcome::kNoShare,
        ShardOutcome::kTimedOut,    ShardOutcome::kConnectionLost, ShardOutcome::kBadAnswer};
    return run.Answer(id, kFailures[random.Below(6)]);
  }
  ShardReply reply = run.ReplyTo(id, ShardOutcome::kRows);
  switch (random.Below(4)) {
    case 0:
      return run.Deliver(Mutate(reply, static_cast<int>(random.Below(5))));
    case 1: {
      std::uint64_t size = reply.range.Size();
      reply.range.low += random.Below(size / 2);
      reply.range.high -= random.Below(size / 2);
      reply.rows = QueryRun::Row(reply.version, reply.range);
      return run.Deliver(reply);
    }
    default:
      return run.Deliver(reply);
  }
}

TEST_CASE("under random faults the coverage is the union of the accepted ranges of one version") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    int shards = 1 + static_cast<int>(random.Below(6));
    Fleet fleet(shards, 2);
    QueryRun run(fleet, random.Below(5) == 0);
    run.Start();
    for (int step = 0; step < 60 && !run.result.has_value(); ++step) {
      Step(run, fleet, shards, random);
    }
    // The timer ends the query in any state.
    if (!run.result.has_value()) run.Timer(std::chrono::seconds(1));
    RC_ASSERT(run.result.has_value());
    for (int i = 0; i < 3; ++i) Step(run, fleet, shards, random);
    RC_ASSERT(run.finishes == 1);
    RC_ASSERT(!run.invalid_action);
    KeyRangeSet united;
    std::uint64_t sum = 0;
    for (const std::string& row : run.result->rows) {
      auto colon = row.find(':');
      RC_ASSERT(std::stoull(row.substr(0, colon)) == run.result->version);
      std::optional<KeyRange> range = ParseKeyRange(std::string_view(row).substr(colon + 1));
      RC_ASSERT(range.has_value());
      united.Add(*range);
      sum += range->Size();
    }
    RC_ASSERT(united.ranges() == run.result->covered.ranges());
    RC_ASSERT(sum == united.Size());
    RC_ASSERT(run.calls.size() <=
              run.result->first_calls + run.result->hedges + run.result->retries);
    RC_ASSERT(run.Open().empty());
  }));
}

}  // namespace
}  // namespace damaskroute
