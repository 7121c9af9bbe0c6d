#ifndef DAMASKROUTE_SRC_PEER_OUTGOING_CONNECTION_H_
#define DAMASKROUTE_SRC_PEER_OUTGOING_CONNECTION_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/time.h"
#include "damaskroute/peer/frame_codec.h"
#include "damaskroute/peer/hello.h"
#include "peer_loop.h"

namespace damaskroute::internal {

/// Connection that this node has opened. Carries messages from this node to the peer only.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<PeerLoop> owner, Endpoint to);

  void Connect();

  /// Queues a message for the next write. False if the queue is full.
  bool Enqueue(std::string payload);

  /// Writes all queued messages, unless a write is in progress.
  void StartWrite();

  /// Closes the connection if its handshake timed out or it is idle at `now`.
  void CloseIfExpired(TimePoint now);

  /// Closes the connection and reports the peer as lost.
  void Fail();

  /// Closes the socket without reporting the peer as lost.
  void Close();

 private:
  void SendHello();
  void ReadHelloLength();
  void ReadHello();
  void WatchForClose();
  void CloseGracefully();

  std::shared_ptr<PeerLoop> owner_;
  Endpoint to_;
  asio::ip::tcp::socket socket_;
  TimePoint opened_;
  TimePoint last_used_;
  bool closed_ = false;
  std::shared_ptr<const PeerKeys> keys_;
  std::string nonce_ = RandomBytes(kNonceSize);
  std::string hello_;
  std::optional<FrameWriter> writer_;  // Set once the handshake is complete.
  std::vector<std::string> queue_;     // Messages queued until then.
  std::size_t queue_bytes_ = 0;
  std::string pending_frames_;        // Frames for the next write.
  std::string writing_;               // Frames of the write in progress.
  std::array<char, 1> unexpected_{};  // Target of the read that detects the end.
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_PEER_OUTGOING_CONNECTION_H_
