#ifndef TESTS_SUPPORT_CLIENT_CROWD_H_
#define TESTS_SUPPORT_CLIENT_CROWD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/core/endpoint.h"

namespace damaskroute {

/// Many connections that send prepared bytes and never read. Used by one thread.
class ClientCrowd {
 public:
  /// Sends everything at once.
  static constexpr std::size_t kWhole = std::size_t{1} << 30;

  ClientCrowd() = default;
  ~ClientCrowd() {
    for (const Member& member : members_) Close(member);
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Adds `count` connections to `to` that send `bytes` in pieces of at most `piece` bytes.
  void Add(std::size_t count, const Endpoint& to, const std::string& bytes, std::size_t piece) {
    for (std::size_t i = 0; i < count; ++i) members_.push_back({Connect(to), bytes, piece});
  }

  /// Sends until no connection has made progress for `kStall`, at most for `kLongest`.
  void Send() {
    using Clock = std::chrono::steady_clock;
    auto end = Clock::now() + kLongest;
    auto progress = Clock::now();
    while (Clock::now() < std::min(end, progress + kStall)) {
      for (Member& member : members_) {
        if (SendPiece(member)) progress = Clock::now();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::size_t connected() const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [](const Member& member) { return member.fd >= 0; }));
  }

  std::size_t size() const { return members_.size(); }

  /// Bytes that the sockets accepted.
  std::size_t sent() const {
    std::size_t sum = 0;
    for (const Member& member : members_) sum += member.sent;
    return sum;
  }

 private:
  static constexpr std::chrono::milliseconds kStall{500};
  static constexpr std::chrono::milliseconds kLongest{4000};
  static constexpr int kReceiveBufferBytes = 4096;

  struct Member {
    int fd;
    std::string bytes;
    std::size_t piece;
    std::size_t sent = 0;
  };

  static void Close(const Member& member) {
    if (member.fd >= 0) close(member.fd);
  }

  static int Connect(const Endpoint& to) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return -1;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
  }

  static bool SendPiece(Member& member) {
    std::size_t left = member.bytes.size() - member.sent;
    if (member.fd < 0 || left == 0) return false;
    ssize_t sent = send(member.fd, member.bytes.data() + member.sent, std::min(left, member.piece),
                        MSG_NOSIGNAL);
    if (sent <= 0) return false;
    member.sent += static_cast<std::size_t>(sent);
    return true;
  }

  std::vector<Member> members_;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_CLIENT_CROWD_H_
