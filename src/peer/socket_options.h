#ifndef DAMASKROUTE_SRC_PEER_SOCKET_OPTIONS_H_
#define DAMASKROUTE_SRC_PEER_SOCKET_OPTIONS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

#include "damaskroute/core/asio.h"

namespace damaskroute::internal {

/// Disables Nagle's algorithm and sets the timeout for unacknowledged data. Errors are ignored,
/// since the connection also works without these options.
inline void SetPeerSocketOptions(asio::ip::tcp::socket& socket,
                                 std::chrono::milliseconds unacknowledged_timeout) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(UserTimeout(static_cast<int>(unacknowledged_timeout.count())), ignored);
}

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_PEER_SOCKET_OPTIONS_H_
