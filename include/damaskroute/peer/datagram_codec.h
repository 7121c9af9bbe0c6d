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

/// Greatest size of a datagram in bytes, below the usual MTU with room for tunnels.
inline constexpr std::size_t kMaxDatagramSize = 1200;

/// Greatest size of node and zone names in a datagram in bytes. Settings and operators' input are
/// checked against it.
inline constexpr std::size_t kMaxMemberNameSize = 128;

/// Size of the encoded datagram in bytes.
std::size_t DatagramSize(const PeerDatagram& datagram);

/// Size that an update adds to a datagram in bytes.
std::size_t UpdateSize(const Member& update);

/// Encodes, signs and checks datagrams. Not safe for use by several threads at once.
class DatagramCodec {
 public:
  /// `keys` must be valid.
  explicit DatagramCodec(const PeerKeys& keys);

  /// Signs with the current key. InvalidArgument if a name or the whole is too long.
  absl::StatusOr<std::string> Encode(const PeerDatagram& datagram);

  /// PermissionDenied if the key is unknown or the tag is wrong, InvalidArgument if the datagram
  /// is malformed. Looks at the contents only after the tag is verified.
  absl::StatusOr<PeerDatagram> Decode(std::string_view bytes);

 private:
  std::vector<std::pair<char, MacKey>> keys_;  // The current key is first.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_DATAGRAM_CODEC_H_
