#ifndef TESTS_SUPPORT_LIMITED_NODE_H_
#define TESTS_SUPPORT_LIMITED_NODE_H_

#include <unistd.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "fmt/format.h"
#include "platform/soak/node_process.h"
#include "platform/standins/server_standin.h"
#include "platform/standins/store_standin.h"
#include "platform/wire_names.h"
#include "tests/http_test_client.h"

namespace damaskroute {

/// Limits of the node under test that its configuration states.
inline constexpr std::size_t kMaxHeaderBytes = 16'384;
inline constexpr std::size_t kMaxBodyBytes = 262'144;

/// The real node program with a machine's limits, beside stand-ins for the store and the servers:
/// the route `/one/` to one server, the query `/all/` to three.
class LimitedNode {
 public:
  static constexpr std::chrono::seconds kWaitTimeout{20};

  LimitedNode(int memory_mb, int max_descriptors)
      : folder_(std::filesystem::temp_directory_path() / fmt::format("limited-{}", getpid())) {
    for (const char* service : {"desk", "s0", "s1", "s2"}) {
      auto& server =
          servers_.emplace_back(std::make_unique<platform::ServerStandin>(loop_, service));
      store_.Write(platform::kServerPrefix + std::string(service), server->Entry(service, "a"));
    }
    store_.Write(platform::kConfigKey, Config());
    std::filesystem::create_directories(folder_);
    process_.emplace(DAMASKROUTE_NODE_PROGRAM, folder_.string(), "node-1", "a", store_.endpoint(),
                     fmt::format("limits: {{memoryMb: {}, maxFds: {}, cpuQuota: 0.5}}\n", memory_mb,
                                 max_descriptors));
    process_->Start();
  }

  ~LimitedNode() {
    process_.reset();
    std::filesystem::remove_all(folder_);
  }

  LimitedNode(const LimitedNode&) = delete;
  LimitedNode& operator=(const LimitedNode&) = delete;

  soak::NodeProcess& process() { return *process_; }
  platform::ServerStandin& server(std::size_t index) { return *servers_[index]; }

  /// Whether the route, the query and the readiness port answer within `kWaitTimeout`.
  bool AwaitServing() {
    return AwaitReady() && Await([this] { return Status("/one/x") == 200; }) &&
           Await([this] { return Status("/all/x") == 200; });
  }

  bool AwaitReady() {
    return Await([this] {
      return HttpTestClient(process_->ready()).Call("GET", platform::kReadyPath).status == 200;
    });
  }

  /// Status of the response to an ordinary request; 0 if there was none.
  int Status(const std::string& target) { return Send(Request("GET", target)).status; }

  HttpTestClient::Response Send(const std::string& bytes) {
    HttpTestClient client(process_->callers());
    client.SendRaw(bytes);
    return client.Receive();
  }

  /// A request without the empty line that ends the header.
  static std::string Head(const std::string& method, const std::string& target) {
    return fmt::format("{} {} HTTP/1.1\r\nHost: desk.example\r\n{}: id\r\n{}: 1500\r\n", method,
                       target, platform::kRequestIdHeader, platform::kDeadlineHeader);
  }

  static std::string Request(const std::string& method, const std::string& target) {
    return Head(method, target) + "\r\n";
  }

  /// Largest resident memory so far and resident memory now, in bytes.
  std::size_t peak_bytes() const { return ReadStatus("VmHWM:"); }
  std::size_t resident_bytes() const { return ReadStatus("VmRSS:"); }

  std::size_t open_descriptors() const {
    auto folder = std::filesystem::path("/proc") / std::to_string(process_->pid()) / "fd";
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(folder),
                                                  std::filesystem::directory_iterator()));
  }

  template <typename Condition>
  static bool Await(Condition condition) {
    auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

 private:
  // Time limits are so long that the connections of a crowd are not closed because of them.
  static std::string Config() {
    auto route = [](const std::string& name, const std::string& rest) {
      return fmt::format(
          R"({{"name":"{}","host":"desk.example","prefix":"/{}/","timeoutMs":1500,"maxAttempts":2,)"
          R"("priority":1,"type":"idempotent",{}}})",
          name, name, rest);
    };
    return fmt::format(
        R"({{"version":1,"routes":[{},{}],"services":[{{"name":"desk","maxConnections":64}}],)"
        R"("limits":{{"maxHeaderBytes":{},"maxBodyBytes":{},"headerTimeoutMs":60000,)"
        R"("idleTimeoutMs":60000}}}})",
        route("one", R"("service":"desk","targetLatencyMs":600)"),
        route("all",
              R"("fanout":["s0","s1","s2"],"topK":2,"minCoverage":0.6,"targetLatencyMs":300)"),
        kMaxHeaderBytes, kMaxBodyBytes);
  }

  std::size_t ReadStatus(const std::string& name) const {
    constexpr std::size_t kBytesPerKilobyte = 1024;
    std::ifstream status(fmt::format("/proc/{}/status", process_->pid()));
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word && word != name) {
    }
    status >> kilobytes;
    return kilobytes * kBytesPerKilobyte;
  }

  const std::filesystem::path folder_;
  standins::LoopThread loop_;
  platform::StoreStandin store_{loop_};
  std::vector<std::unique_ptr<platform::ServerStandin>> servers_;
  std::optional<soak::NodeProcess> process_;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_LIMITED_NODE_H_
