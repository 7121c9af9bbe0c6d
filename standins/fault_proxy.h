#ifndef STANDINS_FAULT_PROXY_H_
#define STANDINS_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/loop.h"

namespace damaskroute::standins {

/// What a `FaultProxy` does with the bytes of its connections.
enum class LinkMode : std::uint8_t {
  kPass,
  kDelay,           ///< Each piece of bytes waits for the delay.
  kDropToServer,    ///< Bytes from the client are lost; answers pass.
  kDropFromServer,  ///< Bytes to the client are lost.
  kSilent,          ///< No bytes pass and no end of a connection is seen; new ones connect.
};

/// TCP forwarder on loopback that injects faults between two processes from outside. All member
/// functions may be called from any thread but the loop's.
class FaultProxy {
 public:
  /// Forwards to `target` from a free port.
  FaultProxy(Loop& loop, const Endpoint& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  Endpoint endpoint() const { return endpoint_; }

  /// Applies to all connections, open ones included. Bytes that were lost stay lost.
  void SetMode(LinkMode mode, std::chrono::milliseconds delay = {});

  /// Resets all connections (TCP RST); new ones are accepted.
  void ResetConnections();

  struct Shared;

 private:
  Loop& loop_;
  std::shared_ptr<Shared> shared_;
  Endpoint endpoint_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_FAULT_PROXY_H_
