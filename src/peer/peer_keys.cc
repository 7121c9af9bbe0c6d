#include "damaskroute/peer/peer_keys.h"

namespace damaskroute {

const PeerKey* PeerKeys::Find(std::uint8_t id) const {
  if (current.id == id) return &current;
  if (other.has_value() && other->id == id) return &*other;
  return nullptr;
}

absl::Status PeerKeys::Validate() const {
  if (current.secret.size() < kMinPeerSecretBytes ||
      (other.has_value() && other->secret.size() < kMinPeerSecretBytes)) {
    return absl::InvalidArgumentError("a peer key needs a secret of at least 16 bytes");
  }
  if (other.has_value() && other->id == current.id) {
    return absl::InvalidArgumentError("two peer keys have the same id");
  }
  return absl::OkStatus();
}

}  // namespace damaskroute
