#ifndef DAMASKROUTE_PEER_FRAME_CODEC_H_
#define DAMASKROUTE_PEER_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskroute/peer/mac_key.h"
#include "damaskroute/peer/message_codec.h"

namespace damaskroute {

/// Size in bytes of the length prefix of a frame. The prefix is little-endian and does not count
/// itself.
inline constexpr std::size_t kFrameLengthSize = 4;

/// Size in bytes of key id, sequence number and tag, which precede the message in a frame.
inline constexpr std::size_t kFrameHeaderSize = 1 + 8 + kMacSize;

/// Maximum value of the length prefix.
inline constexpr std::size_t kMaxFrameSize = kFrameHeaderSize + kMaxMessageSize;

/// Length prefix at the start of `bytes`, which must have at least `kFrameLengthSize` bytes.
std::uint32_t ReadFrameLength(std::string_view bytes);

/// Appends the length prefix of a frame of `size` bytes.
void AppendFrameLength(std::string& target, std::size_t size);

/// Encodes and signs the frames of one direction of a connection.
class FrameWriter {
 public:
  FrameWriter(std::uint8_t key_id, std::string_view session_secret);

  /// Appends a whole frame with the next sequence number. An empty payload announces that the
  /// sender closes the connection gracefully.
  void Append(std::string& target, std::string_view payload);

 private:
  std::uint8_t key_id_;
  std::uint64_t sequence_ = 0;
  MacKey mac_;
};

/// Verifies the frames of one direction of a connection.
class FrameReader {
 public:
  FrameReader(std::uint8_t key_id, std::string_view session_secret);

  /// Sets `payload` to the message in `frame`, which is passed without its length prefix. False if
  /// the frame is forged, replayed, out of order or too short; the connection must then be closed.
  bool Read(std::string_view frame, std::string_view& payload);

 private:
  std::uint8_t key_id_;
  std::uint64_t sequence_ = 0;
  MacKey mac_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_FRAME_CODEC_H_
