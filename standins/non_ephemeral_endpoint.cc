#include "standins/non_ephemeral_endpoint.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/core/asio.h"
#include "fmt/format.h"

namespace damaskroute::standins {
namespace {

constexpr int kFirstPort = 12000;
constexpr int kBlockPorts = 200;
constexpr int kBlocks = 80;

// Claims a block of ports for the lifetime of this process, by binding a name in the abstract
// socket namespace. Returns false if another process holds it.
bool Claim(int block) {
  int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::string name = fmt::format("damaskroute-ports-{}", block);
  name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
  auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0) return true;
  close(fd);
  return false;
}

// Draws ports from the blocks that this process holds.
class PortRange {
 public:
  std::uint16_t Next() {
    if (blocks_.empty() || used_ == kBlockPorts) StartNextBlock();
    return static_cast<std::uint16_t>(kFirstPort + blocks_[current_] * kBlockPorts + used_++);
  }

 private:
  // Goes through the held blocks again if other processes hold all others.
  void StartNextBlock() {
    used_ = 0;
    while (!ClaimAny() && blocks_.empty()) std::this_thread::yield();
    current_ = (current_ + 1) % blocks_.size();
  }

  bool ClaimAny() {
    for (int tried = 0; tried < kBlocks; ++tried) {
      candidate_ = (candidate_ + 1) % kBlocks;
      if (!Claim(candidate_)) continue;
      blocks_.push_back(candidate_);
      return true;
    }
    return false;
  }

  std::vector<int> blocks_;
  std::size_t current_ = 0;  // Index in `blocks_`.
  int used_ = 0;             // Ports drawn from the current block.
  int candidate_ = static_cast<int>(getpid()) % kBlocks;
};

bool IsFree(std::uint16_t port) {
  asio::io_context context;
  boost::system::error_code error;
  asio::ip::tcp::acceptor tcp(context);
  asio::ip::udp::socket udp(context);
  tcp.open(asio::ip::tcp::v4(), error);
  if (!error) tcp.bind({asio::ip::make_address("127.0.0.1"), port}, error);
  if (!error) udp.open(asio::ip::udp::v4(), error);
  if (!error) udp.bind({asio::ip::make_address("127.0.0.1"), port}, error);
  return !error;
}

}  // namespace

Endpoint NonEphemeralEndpoint() {
  static std::mutex mutex;
  static PortRange range;
  std::lock_guard lock(mutex);
  for (;;) {
    std::uint16_t port = range.Next();
    if (IsFree(port)) return {"127.0.0.1", port};
  }
}

}  // namespace damaskroute::standins
