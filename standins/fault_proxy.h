#ifndef STANDINS_FAULT_PROXY_H_
#define STANDINS_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop_thread.h"

namespace damaskroute::standins {

/// What a `FaultProxy` does with the bytes of its connections.
enum class LinkMode : std::uint8_t {
  kPass,            ///< Forwards all bytes.
  kDelay,           ///< Forwards each block of bytes with a delay.
  kDropToServer,    ///< Drops bytes from the client; forwards responses.
  kDropFromServer,  ///< Drops bytes to the client; forwards requests.
  kUnresponsive,    ///< Drops all bytes and hides closed connections; still accepts new ones.
};

/// TCP proxy on the loopback interface that injects network faults between two processes. Member
/// functions may be called from any thread other than the thread of `loop`.
class FaultProxy {
 public:
  /// Listens on a free port and forwards connections to `target`.
  FaultProxy(LoopThread& loop, const Endpoint& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  Endpoint endpoint() const { return endpoint_; }

  /// Sets the mode of all connections, including open ones. Connections that were in a mode that
  /// drops bytes are reset. `delay` is used by `kDelay` only.
  void SetMode(LinkMode mode, std::chrono::milliseconds delay = {});

  /// Resets all connections (TCP RST). New ones are still accepted.
  void ResetConnections();

  /// Makes the open connections unresponsive for good. New ones work.
  void SilenceConnections();

  /// Number of blocks of bytes that clients sent on connections that were silenced.
  std::size_t silenced_blocks() const;

  struct SharedState;

 private:
  LoopThread& loop_;
  std::shared_ptr<SharedState> shared_;
  Endpoint endpoint_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_FAULT_PROXY_H_
