#ifndef DAMASKROUTE_SRC_PEER_ACCEPTED_CONNECTION_H_
#define DAMASKROUTE_SRC_PEER_ACCEPTED_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/time.h"
#include "damaskroute/peer/frame_codec.h"
#include "damaskroute/peer/hello.h"
#include "peer_loop.h"

namespace damaskroute::internal {

/// Connection that a peer opened. Carries messages from the peer to here only.
class AcceptedConnection : public std::enable_shared_from_this<AcceptedConnection> {
 public:
  AcceptedConnection(std::shared_ptr<PeerLoop> owner, asio::ip::tcp::socket socket);

  void Start();

  /// Closes the connection if it is late or idle at `now`.
  void CloseIfExpired(TimePoint now);

  /// Closes the connection; `lost` says that the peer did not announce it.
  void Close(bool lost);

  /// Whether a frame of this very connection has been verified. A hello alone proves nothing, as
  /// it may be a recorded one.
  bool authenticated() const { return authenticated_; }

  const PeerIdentity& peer() const { return peer_; }

 private:
  void ReadSome();
  bool ReadFrames();
  bool ReadHello(std::string_view frame);
  bool ReadMessage(std::string_view frame);

  std::shared_ptr<PeerLoop> owner_;
  asio::ip::tcp::socket socket_;
  TimePoint opened_;
  TimePoint last_used_;
  bool closed_ = false;
  bool authenticated_ = false;
  PeerIdentity peer_;
  std::optional<FrameReader> reader_;
  std::string hello_;
  std::string buffer_;  // Received bytes from begin_ to end_.
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_PEER_ACCEPTED_CONNECTION_H_
