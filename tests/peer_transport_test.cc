#include "damaskroute/peer/peer_transport.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/peer/frame_codec.h"
#include "damaskroute/peer/hello.h"

namespace damaskroute {
namespace {

const PeerKey kOldKey{1, "old secret of 16 bytes"};
const PeerKey kNewKey{2, "new secret of 16 bytes"};

// Transport that records its events, on a shared loop. The loop runs only until a condition holds,
// so a failing test ends at the time limit of the test program.
struct Node {
  Node(asio::io_context& loop, std::string name, PeerKeys keys = {kOldKey, {}},
       PeerTransportOptions options = {})
      : transport(std::make_unique<PeerTransport>(
            loop, PeerIdentity{std::move(name), 7, {"127.0.0.1", 0}}, std::move(keys),
            PeerHandlers{[this](const PeerContext& context, Message message) {
                           from.push_back(context);
                           received.push_back(std::move(message));
                         },
                         [this](const Endpoint& endpoint) { lost.push_back(endpoint); }},
            std::move(options))) {
    REQUIRE(transport->Listen().ok());
  }

  std::vector<PeerContext> from;
  std::vector<Message> received;
  std::vector<Endpoint> lost;
  std::unique_ptr<PeerTransport> transport;
};

template <typename Condition>
void RunUntil(asio::io_context& loop, Condition condition) {
  while (!condition()) loop.run_one();
}

TEST_CASE("messages arrive in order in one write, and a reply reaches the sender") {
  asio::io_context loop;
  Node a(loop, "a");
  Node b(loop, "b");
  for (std::uint64_t id = 0; id < 100; ++id) {
    a.transport->Send(b.transport->endpoint(), CancelCalls{id, {1, 2}});
  }
  RunUntil(loop, [&] { return b.received.size() == 100; });
  for (std::uint64_t id = 0; id < 100; ++id) {
    CHECK(std::get<CancelCalls>(b.received[id]).query_id == id);
  }
  CHECK(a.transport->counters().writes == 1);
  CHECK(b.from[0] == PeerIdentity{"a", 7, a.transport->endpoint()});
  b.transport->Send(b.from[0].endpoint, ForwardReply{5, 200, std::string(3 << 20, 'x')});
  RunUntil(loop, [&] { return a.received.size() == 1; });
  CHECK(std::get<ForwardReply>(a.received[0]).body.size() == 3 << 20);
}

TEST_CASE("all messages sent by several threads arrive, those of each thread in order") {
  asio::io_context loop;
  Node a(loop, "a");
  Node b(loop, "b");
  constexpr std::uint32_t kThreads = 3;
  constexpr std::uint64_t kMessages = 500;
  std::vector<std::thread> threads;
  for (std::uint32_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread, to = b.transport->endpoint()] {
      for (std::uint64_t i = 0; i < kMessages; ++i) a.transport->Send(to, CancelCalls{i, {thread}});
    });
  }
  RunUntil(loop, [&] { return b.received.size() == kThreads * kMessages; });
  for (std::thread& thread : threads) thread.join();
  std::vector<std::uint64_t> next(kThreads, 0);
  for (const Message& message : b.received) {
    const auto& cancel = std::get<CancelCalls>(message);
    CHECK(cancel.query_id == next[cancel.call_ids[0]]++);
  }
}

TEST_CASE("a peer is reported as lost if it exits, refuses connections or does not read") {
  asio::io_context loop;
  PeerTransportOptions options;
  options.max_queue_bytes = 1000;
  Node a(loop, "a", {kOldKey, {}}, options);
  auto b = std::make_unique<Node>(loop, "b");
  Endpoint to = b->transport->endpoint();
  a.transport->Send(to, CancelCalls{1, {}});
  RunUntil(loop, [&] { return b->received.size() == 1; });
  b.reset();
  RunUntil(loop, [&] { return a.lost.size() == 1; });
  a.transport->Send(to, CancelCalls{2, {}});
  RunUntil(loop, [&] { return a.lost.size() == 2; });
  Node c(loop, "c");
  a.transport->Send(c.transport->endpoint(), ForwardReply{1, 200, std::string(2000, 'x')});
  RunUntil(loop, [&] { return a.lost.size() == 3; });
  CHECK(a.lost == std::vector<Endpoint>{to, to, c.transport->endpoint()});
}

TEST_CASE("nodes with overlapping keys communicate during a key rotation, others are refused") {
  asio::io_context loop;
  Node old_node(loop, "old", {kOldKey, kNewKey});
  Node new_node(loop, "new", {kNewKey, kOldKey});
  Node unknown(loop, "unknown", {{1, "quite another secret"}, {}});
  old_node.transport->Send(new_node.transport->endpoint(), CancelCalls{1, {}});
  new_node.transport->Send(old_node.transport->endpoint(), CancelCalls{2, {}});
  RunUntil(loop, [&] { return old_node.received.size() + new_node.received.size() == 2; });
  unknown.transport->Send(new_node.transport->endpoint(), CancelCalls{3, {}});
  RunUntil(loop, [&] { return unknown.lost.size() == 1; });
  CHECK(new_node.received.size() == 1);
  CHECK(new_node.transport->counters().refused == 1);
}

TEST_CASE("an idle connection is closed without reporting a lost peer and reopened on demand") {
  asio::io_context loop;
  ManualClock clock;
  PeerTransportOptions options;
  options.now = [&] { return clock.Now(); };
  Node a(loop, "a", {kOldKey, {}}, options);
  Node b(loop, "b", {kOldKey, {}}, options);
  a.transport->Send(b.transport->endpoint(), CancelCalls{1, {}});
  RunUntil(loop, [&] { return b.received.size() == 1; });
  clock.Advance(options.idle_timeout);
  a.transport->CloseExpired();
  a.transport->Send(b.transport->endpoint(), CancelCalls{2, {}});
  RunUntil(loop, [&] { return b.received.size() == 2; });
  CHECK(a.transport->counters().connects == 2);
  CHECK(a.lost.empty());
  CHECK(b.lost.empty());
}

TEST_CASE("a replayed stream is rejected on a new connection and never reported as a lost peer") {
  asio::io_context loop;
  Node b(loop, "b");
  std::string hello =
      EncodeHello({1, std::string(kNonceSize, 'n'), {"a", 7, {"127.0.0.1", 9}}}, kOldKey, {});
  std::string stream;
  AppendFrameLength(stream, hello.size());
  stream += hello;
  FrameWriter writer(1, SessionSecret(kOldKey, std::string(kNonceSize, 'n'), "earlier nonce of b"));
  writer.Append(stream, "payload");
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), b.transport->endpoint().port});
  asio::write(socket, asio::buffer(stream));
  RunUntil(loop, [&] { return b.transport->counters().malformed == 1; });
  CHECK(b.received.empty());
  CHECK(b.lost.empty());
}

TEST_CASE("frames are rejected if altered, repeated, reordered or sent under another key id") {
  FrameWriter writer(1, "session secret");
  std::string first;
  std::string second;
  writer.Append(first, "one");
  writer.Append(second, "two");
  auto accepts = [&](std::string frame, std::uint8_t key_id = 1) {
    FrameReader reader(key_id, "session secret");
    std::string_view payload;
    std::string_view body = std::string_view(frame).substr(kFrameLengthSize);
    return reader.Read(body, payload) && !reader.Read(body, payload);
  };
  CHECK(accepts(first));
  CHECK_FALSE(accepts(second));
  CHECK_FALSE(accepts(first, 2));
  for (std::size_t i = kFrameLengthSize; i < first.size(); ++i) {
    std::string altered = first;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK_FALSE(accepts(altered));
  }
}

}  // namespace
}  // namespace damaskroute
