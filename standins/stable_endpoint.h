#ifndef STANDINS_STABLE_ENDPOINT_H_
#define STANDINS_STABLE_ENDPOINT_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"

namespace damaskroute::standins {

/// A port that is free for TCP and UDP and below the range from which the kernel takes the ports of
/// outgoing connections, so that a node that restarts finds its port free.
inline Endpoint StableEndpoint() {
  static std::atomic<int> next{static_cast<int>(getpid()) * 131 % 16000};
  for (;;) {
    auto port = static_cast<std::uint16_t>(12000 + next++ % 16000);
    asio::io_context context;
    boost::system::error_code error;
    asio::ip::tcp::acceptor tcp(context);
    asio::ip::udp::socket udp(context);
    tcp.open(asio::ip::tcp::v4());
    tcp.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) udp.open(asio::ip::udp::v4(), error);
    if (!error) udp.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) return {"127.0.0.1", port};
  }
}

}  // namespace damaskroute::standins

#endif  // STANDINS_STABLE_ENDPOINT_H_
