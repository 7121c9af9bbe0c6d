#ifndef DAMASKROUTE_PEER_DATAGRAM_CODEC_H_
#define DAMASKROUTE_PEER_DATAGRAM_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/peer/mac_key.h"
#include "damaskroute/peer/peer_datagram.h"
#include "damaskroute/peer/peer_keys.h"

namespace damaskroute {

/// Maximum size of a datagram in bytes. Stays below the usual MTU, with headroom for tunnels.
inline constexpr std::size_t kMaxDatagramSize = 1200;

/// Maximum size of node and zone names in a datagram in bytes. Settings and operator input are
/// validated against it.
inline constexpr std::size_t kMaxMemberNameSize = 128;

/// Size of the encoded datagram in bytes.
std::size_t DatagramSize(const PeerDatagram& datagram);

/// Number of bytes that an update adds to a datagram.
std::size_t UpdateSize(const Member& update);

/// Encodes, signs, verifies and decodes datagrams. Not thread-safe.
class DatagramCodec {
 public:
  /// `keys` must be valid.
  explicit DatagramCodec(const PeerKeys& keys);

  /// Signs with the current key. InvalidArgument if a name or the datagram is too long.
  absl::StatusOr<std::string> Encode(const PeerDatagram& datagram);

  /// PermissionDenied if the key is unknown or the tag is invalid, InvalidArgument if the datagram
  /// is malformed. Parses the content only after verifying the tag.
  absl::StatusOr<PeerDatagram> Decode(std::string_view bytes);

 private:
  std::vector<std::pair<char, MacKey>> keys_;  // The current key comes first.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_DATAGRAM_CODEC_H_
