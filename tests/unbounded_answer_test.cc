#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/node/holder_loop.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_vm_list.h"
#include "fmt/format.h"
#include "tests/support/flood_server.h"
#include "tests/support/floods.h"

// Guards against answers without end on the product's own interfaces, as `unbounded_message_test`
// does on the users' platform.

namespace damaskroute {
namespace {

using std::chrono::seconds;

TEST_CASE("an endless answer of the store or the VM list is aborted at a fixed size") {
  standins::LoopThread servers;
  for (const Flood& flood : Floods()) {
    CAPTURE(flood.name);
    std::uint64_t max_bytes =
        flood.bytes_per_body_byte * BackendClientOptions().max_body_bytes + kSocketBufferBytes;
    FloodServer server(servers, flood.start, flood.filler);
    CHECK(!HttpStore(server.endpoint(), seconds(2)).Get("key").ok());
    CHECK(server.sent() < max_bytes);
    FloodServer vm_list(servers, flood.start, flood.filler);
    CHECK(!HttpVmList(vm_list.endpoint(), seconds(2)).Read().ok());
    CHECK(vm_list.sent() < max_bytes);
  }
}

// Guards against answers that together take more memory than the budget.
TEST_CASE("many large answers to the calls of a holder are aborted before their deadline") {
  standins::LoopThread servers;
  FloodServer server(servers, kIncomplete, "");
  EventLoop loop(1);
  std::size_t aborted = 0;
  std::size_t replies = 0;
  BackendChannelHooks hooks;
  hooks.reply = [&](const Endpoint&, const Message& message) {
    ++replies;
    if (std::get<ActionResult>(message).outcome == ShardOutcome::kBadAnswer) ++aborted;
  };
  hooks.send_to_node = [](const NodeName&, const Message&) {};
  hooks.report = [](const BackendReport&) {};
  hooks.refute_crash = [](const CrashRefutation&) {};
  hooks.within_limit = [](const BackendName&, std::uint64_t) {};
  HolderLoop holder(loop, hooks, 1, seconds(10));
  for (std::size_t i = 0; i < kIncompleteAnswers; ++i) {
    HolderLoop::Limit limit;
    limit.service = "desk";
    limit.backend = {fmt::format("b{}", i), "a", server.endpoint(), 1, 1, 2};
    limit.share = {1, 2, true, 1};
    limit.accepts_work = true;
    holder.SetLimit(limit);
    auto action = std::make_shared<RunAction>();
    action->query_id = i;
    action->backend = limit.backend.name;
    action->time_left = seconds(2);
    holder.Submit(limit.backend.name,
                  {{}, nullptr, {}, action, SteadyClock().Now() + action->time_left});
  }
  auto end = std::chrono::steady_clock::now() + seconds(10);
  while (replies < kIncompleteAnswers && std::chrono::steady_clock::now() < end) {
    loop.context().run_one_for(seconds(1));
  }
  CHECK(replies == kIncompleteAnswers);
  CHECK(aborted >= kIncompleteAnswers / 2);
}

}  // namespace
}  // namespace damaskroute
