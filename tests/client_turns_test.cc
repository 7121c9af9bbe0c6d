#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "src/http/pipeline_turns.h"
#include "src/http/waiting_connections.h"

// Whose pipelined request runs next, and which connection is closed for a new one.

namespace damaskroute::internal {
namespace {

using std::chrono::seconds;

// Guards against clients that pipeline and take turns out of order, or turns that are lost with
// connections which ended while they waited.
TEST_CASE("pipelined requests above the limit run in the order of arrival") {
  PipelineTurns turns;
  std::vector<int> begun;
  int taken = 0;
  while (!turns.TakeOrWait([&] {
    begun.push_back(0);
    return true;
  })) {
    REQUIRE(++taken < 100);
  }
  CHECK(turns.TakeOrWait([] { return false; }));  // A connection that ends before its turn.
  CHECK(turns.TakeOrWait([&] {
    begun.push_back(1);
    return true;
  }));
  turns.Return();
  CHECK(begun == std::vector<int>{0});
  turns.Return();
  CHECK(begun == std::vector<int>{0, 1});
  for (int i = 0; i < taken; ++i) turns.Return();
  CHECK_FALSE(turns.TakeOrWait([] { return true; }));
}

// Guards against closed connections whose memory stays in the queue while all turns are taken.
TEST_CASE("a connection that closes leaves the queue of turns") {
  PipelineTurns turns;
  std::optional<PipelineTurns::Ticket> first;
  for (int i = 0; i < 100 && !first; ++i) first = turns.TakeOrWait([] { return true; });
  REQUIRE(first.has_value());
  bool begun = false;
  CHECK(turns.TakeOrWait([&begun] { return begun = true; }).has_value());
  turns.Cancel(*first);
  CHECK(turns.waiting() == 1);
  turns.Return();
  CHECK(begun);
  turns.Cancel(*first);
  CHECK(turns.waiting() == 0);
}

struct Connections {
  WaitingConnections::Position Add(int number) {
    return waiting.Add([this, number] { closed.push_back(number); }, now);
  }

  // Number of the connection that is closed for a new one; -1 if there is none.
  int Oldest() {
    auto close = waiting.TakeOldest(now);
    if (!close) return -1;
    (*close)();
    return closed.back();
  }

  WaitingConnections waiting;
  TimePoint now;
  std::vector<int> closed;
};

TEST_CASE("connections without a request are closed first, then idle ones, the oldest first") {
  Connections c;
  auto idle = c.Add(0);
  c.waiting.SetServing(idle);
  c.waiting.SetWaiting(idle, c.now);
  c.now += seconds(1);
  auto silent = c.Add(1);
  c.Add(2);
  c.now += seconds(1);
  CHECK(c.Oldest() == 1);
  CHECK(c.Oldest() == 2);
  CHECK(c.Oldest() == 0);
  c.waiting.Remove(silent);
  c.waiting.Remove(idle);
}

// Guards against a crowd of connections with one request each that displaces a regular client.
TEST_CASE("connections with one request are closed before those with more") {
  Connections c;
  auto serve = [&c](WaitingConnections::Position position) {
    c.waiting.SetServing(position);
    c.waiting.SetWaiting(position, c.now);
  };
  auto regular = c.Add(0);
  serve(regular);
  serve(regular);
  c.now += seconds(20);
  auto first = c.Add(1);
  serve(first);
  c.now += seconds(1);
  CHECK(c.Oldest() == 1);
  CHECK(c.Oldest() == 0);
  c.now += seconds(1);
  c.waiting.SetWaiting(regular, c.now);  // Begins to send its next request.
  CHECK(c.Oldest() == 1);
  CHECK(c.Oldest() == -1);
}

// Guards against new clients that close each other's connections before they can send, and against
// a running request whose connection is closed.
TEST_CASE("new connections and running requests are not closed") {
  Connections c;
  auto serving = c.Add(0);
  c.waiting.SetServing(serving);
  c.now += seconds(100);
  c.Add(1);
  CHECK(c.Oldest() == -1);
  c.waiting.SetWaiting(serving, c.now);
  CHECK(c.Oldest() == -1);
  c.now += seconds(1);
  CHECK(c.Oldest() == 1);
}

}  // namespace
}  // namespace damaskroute::internal
