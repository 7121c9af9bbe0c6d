#include <doctest/doctest.h>

#include "tests/support/client_crowd.h"
#include "tests/support/limited_node.h"

// Crowds of clients that do not keep to the limits, against the real node program on a machine with
// little memory. Each case guards against one way to use more memory than the machine has, to keep
// it, or to stop the node from answering ordinary requests.

namespace damaskroute {
namespace {

constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 2048;
constexpr std::size_t kMegabyte = std::size_t{1} << 20;

// The target of the project: peak memory below 60% of the machine's, and memory that returns to
// within 16 MB of the baseline.
constexpr std::size_t kMaxPeakBytes = kMemoryMb * kMegabyte * 6 / 10;
constexpr std::size_t kMaxGrowthBytes = 16 * kMegabyte;

// A sanitizer changes how much memory the program uses.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kChecksMemory = false;
#else
constexpr bool kChecksMemory = true;
#endif

// Adds connections to all ports and paths. `render` returns the bytes for a target.
template <typename Render>
void AddEverywhere(ClientCrowd& crowd, LimitedNode& node, Render render,
                   std::size_t piece = ClientCrowd::kWhole) {
  const soak::NodeProcess& process = node.process();
  crowd.Add(120, process.callers(), render("/one/x"), piece);
  crowd.Add(120, process.callers(), render("/all/x"), piece);
  crowd.Add(60, process.callers(), render("/none/x"), piece);
  crowd.Add(120, process.peers(), render("/one/x"), piece);
  crowd.Add(60, process.ready(), render(platform::kReadyPath), piece);
  crowd.Add(60, process.metrics(), render("/metrics"), piece);
  crowd.Add(60, process.changes(), render("/changes?era=1&after=0&wait=10000"), piece);
}

// Runs one crowd: the node answers ordinary requests while its connections are open and afterwards,
// and its memory stays within the bounds.
template <typename Fill>
void RunCrowd(Fill fill, const std::string& server_body = "body") {
  LimitedNode node(kMemoryMb, kMaxDescriptors);
  node.server(0).SetBody(server_body);
  REQUIRE(node.AwaitServing());
  std::size_t baseline = node.resident_bytes();
  {
    ClientCrowd crowd;
    fill(crowd, node);
    CHECK(crowd.connected() == crowd.size());
    crowd.Send();
    CHECK(node.AwaitServing());
    MESSAGE("sent " << crowd.sent() / 1024 << " KB, baseline " << baseline / 1024 << " KB, held "
                    << node.resident_bytes() / 1024 << " KB");
  }
  CHECK(node.AwaitServing());
  CHECK(node.process().IsRunning());
  MESSAGE("peak " << node.peak_bytes() / 1024 << " KB");
  if (!kChecksMemory) return;
  CHECK(node.peak_bytes() <= kMaxPeakBytes);
  CHECK(LimitedNode::Await([&] { return node.resident_bytes() <= baseline + kMaxGrowthBytes; }));
  MESSAGE("afterwards " << node.resident_bytes() / 1024 << " KB");
}

template <typename Render>
void RunCrowdEverywhere(Render render, std::size_t piece = ClientCrowd::kWhole) {
  RunCrowd(
      [&](ClientCrowd& crowd, LimitedNode& node) { AddEverywhere(crowd, node, render, piece); });
}

std::string Post(const std::string& target, const std::string& framing) {
  return LimitedNode::Head("POST", target) + framing + "\r\n";
}

// A body of the largest permitted size without its last byte.
std::string IncompleteBody(const std::string& target) {
  return Post(target, fmt::format("Content-Length: {}\r\n", kMaxBodyBytes)) +
         std::string(kMaxBodyBytes - 1, 'b');
}

// The same in chunks, without the last chunk.
std::string IncompleteChunks(const std::string& target) {
  std::string bytes = Post(target, "Transfer-Encoding: chunked\r\n");
  for (std::size_t sent = 0; sent < kMaxBodyBytes; sent += 256) {
    bytes += "100\r\n" + std::string(256, 'b') + "\r\n";
  }
  return bytes;
}

// 3,900 short fields within the limit on bytes.
std::string ManyFields() {
  std::string fields;
  for (int i = 0; i < 3900; ++i) fields += "a:\r\n";
  return fields;
}

TEST_CASE("bodies that stop before their last byte") { RunCrowdEverywhere(IncompleteBody); }

TEST_CASE("bodies in small pieces that stop before their last byte") {
  RunCrowdEverywhere(IncompleteBody, 2048);
}

TEST_CASE("chunked bodies that stop before the last chunk") {
  RunCrowdEverywhere(IncompleteChunks);
}

TEST_CASE("whole bodies of the largest size") {
  RunCrowdEverywhere([](const std::string& target) { return IncompleteBody(target) + "b"; });
}

TEST_CASE("bodies far above the limit") {
  RunCrowdEverywhere([](const std::string& target) {
    return Post(target, "Content-Length: 100000000\r\n") + std::string(1 << 20, 'b');
  });
}

TEST_CASE("requests of thousands of fields") {
  RunCrowdEverywhere([](const std::string& target) {
    return LimitedNode::Head("GET", target) + ManyFields() + "\r\n";
  });
}

TEST_CASE("requests of thousands of fields with a body that stops before its last byte") {
  RunCrowdEverywhere([](const std::string& target) {
    return LimitedNode::Head("POST", target) + ManyFields() + "Content-Length: 9\r\n\r\n12345678";
  });
}

TEST_CASE("headers of thousands of fields that stop before the end") {
  RunCrowdEverywhere(
      [](const std::string& target) { return LimitedNode::Head("GET", target) + ManyFields(); });
}

TEST_CASE("pipelined requests whose responses are not read") {
  RunCrowdEverywhere([](const std::string& target) {
    std::string bytes;
    for (int i = 0; i < 500; ++i) bytes += LimitedNode::Request("GET", target);
    return bytes;
  });
}

TEST_CASE("large responses that are not read") {
  std::string large(200'000, 'r');
  RunCrowd(
      [](ClientCrowd& crowd, LimitedNode& node) {
        std::string request = LimitedNode::Request("GET", "/one/x");
        crowd.Add(500, node.process().callers(), request + request, ClientCrowd::kWhole);
        crowd.Add(100, node.process().peers(), request + request, ClientCrowd::kWhole);
      },
      large);
}

TEST_CASE("requests that arrive byte by byte and stop half-way") {
  RunCrowdEverywhere([](const std::string& target) { return LimitedNode::Head("GET", target); }, 1);
}

// Guards against limits that refuse what the documentation permits.
TEST_CASE("a single request at the limits is served") {
  LimitedNode node(kMemoryMb, kMaxDescriptors);
  REQUIRE(node.AwaitServing());
  for (const char* target : {"/one/x", "/all/x"}) {
    CAPTURE(std::string(target));
    std::string head =
        LimitedNode::Head("POST", target) + fmt::format("Content-Length: {}\r\n", kMaxBodyBytes);
    std::string fields = head;
    while (fields.size() + 6 <= kMaxHeaderBytes) fields += "a:\r\n";
    CHECK(node.Send(fields + "\r\n" + std::string(kMaxBodyBytes, 'b')).status == 200);
    std::string one_field = head + "a: ";
    one_field += std::string(kMaxHeaderBytes - one_field.size() - 4, 'v') + "\r\n\r\n";
    CHECK(node.Send(one_field + std::string(kMaxBodyBytes, 'b')).status == 200);
  }
}

}  // namespace
}  // namespace damaskroute
