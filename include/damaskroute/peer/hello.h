#ifndef DAMASKROUTE_PEER_HELLO_H_
#define DAMASKROUTE_PEER_HELLO_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/peer/peer_identity.h"
#include "damaskroute/peer/peer_keys.h"

namespace damaskroute {

/// First frame of each side of a connection; authenticates the handshake.
struct Hello {
  std::uint8_t key_id = 0;
  std::string nonce;  ///< Random bytes, unique for each connection.
  PeerIdentity sender;
};

/// Maximum size of an encoded hello in bytes.
inline constexpr std::size_t kMaxHelloSize = 1024;

/// Size of `Hello::nonce` in bytes.
inline constexpr std::size_t kNonceSize = 16;

/// Encodes and signs a hello. `peer_nonce` is empty for the connecting side, and the nonce of the
/// received hello for the accepting side, so neither hello can be replayed in place of the other.
std::string EncodeHello(const Hello& hello, const PeerKey& key, std::string_view peer_nonce);

/// Verifies and decodes a hello. InvalidArgument if it is malformed, PermissionDenied if the key is
/// unknown or the tag is invalid.
absl::StatusOr<Hello> DecodeHello(std::string_view bytes, const PeerKeys& keys,
                                  std::string_view peer_nonce);

/// Secret for signing the frames from the connecting to the accepting side. It is derived from the
/// nonces of both sides, so a recorded stream cannot be replayed on another connection.
std::string SessionSecret(const PeerKey& key, std::string_view connector_nonce,
                          std::string_view acceptor_nonce);

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_HELLO_H_
