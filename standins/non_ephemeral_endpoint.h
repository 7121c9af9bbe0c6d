#ifndef STANDINS_NON_EPHEMERAL_ENDPOINT_H_
#define STANDINS_NON_EPHEMERAL_ENDPOINT_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"

namespace damaskroute::standins {

/// Returns a loopback endpoint whose port is unused for TCP and UDP and below the ephemeral port
/// range, so that no outgoing connection can take the port while a node restarts.
inline Endpoint NonEphemeralEndpoint() {
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

#endif  // STANDINS_NON_EPHEMERAL_ENDPOINT_H_
