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

/// Connection that a peer has opened. Carries messages from the peer to this node only.
class AcceptedConnection : public std::enable_shared_from_this<AcceptedConnection> {
 public:
  AcceptedConnection(std::shared_ptr<PeerLoop> owner, asio::ip::tcp::socket socket);

  void Start();

  /// Closes the connection if its handshake timed out or it is idle at `now`.
  void CloseIfExpired(TimePoint now);

  /// Closes the connection. `lost` means that the peer did not announce the end of the connection.
  void Close(bool lost);

  /// Whether a frame of this connection has been verified. A hello alone does not authenticate the
  /// peer, because it may be replayed.
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
  std::string buffer_;  // Unprocessed bytes are those from begin_ to end_.
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_PEER_ACCEPTED_CONNECTION_H_
