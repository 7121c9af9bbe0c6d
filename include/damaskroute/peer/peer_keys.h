#ifndef DAMASKROUTE_PEER_PEER_KEYS_H_
#define DAMASKROUTE_PEER_PEER_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/status.h"

namespace damaskroute {

/// Minimum size of the secret of a peer key in bytes.
inline constexpr std::size_t kMinPeerSecretBytes = 16;

/// Secret shared by all nodes, with the id that identifies it on the wire.
struct PeerKey {
  std::uint8_t id = 0;
  std::string secret;
};

/// The keys that a node accepts. To rotate a key without interruption, first add the new key as
/// `other` on all nodes, then make it `current` on all nodes, then remove the old key.
struct PeerKeys {
  PeerKey current;  ///< Signs datagrams and the connections that this node opens.
  std::optional<PeerKey> other;

  /// The key with the given id, or nullptr.
  const PeerKey* Find(std::uint8_t id) const;

  /// InvalidArgument if a secret is shorter than `kMinPeerSecretBytes` or both keys have the same
  /// id.
  absl::Status Validate() const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_KEYS_H_
