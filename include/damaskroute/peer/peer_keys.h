#ifndef DAMASKROUTE_PEER_PEER_KEYS_H_
#define DAMASKROUTE_PEER_PEER_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/status.h"

namespace damaskroute {

/// Shortest secret of a peer key, in bytes.
inline constexpr std::size_t kMinPeerSecretBytes = 16;

/// Secret shared by all nodes, with the number that names it on the wire.
struct PeerKey {
  std::uint8_t id = 0;
  std::string secret;
};

/// The keys that a node accepts. To change a key without an interruption, first add the new one
/// as `other` on all nodes, then make it `current` on all nodes, then remove the old one.
struct PeerKeys {
  PeerKey current;  ///< Signs what the node sends on its own account.
  std::optional<PeerKey> other;

  /// Key with the given id, or nullptr.
  const PeerKey* Find(std::uint8_t id) const;

  /// InvalidArgument if a secret has fewer than 16 bytes or both keys have the same id.
  absl::Status Validate() const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_KEYS_H_
