#ifndef DAMASKROUTE_PEER_MESSAGE_CODEC_H_
#define DAMASKROUTE_PEER_MESSAGE_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/peer/message.h"

namespace damaskroute {

/// Maximum size of an encoded message in bytes.
inline constexpr std::size_t kMaxMessageSize = 16 << 20;

/// Maximum size of names, ids and request ids in a message in bytes.
inline constexpr std::size_t kMaxNameSize = 512;

/// Maximum remaining time or validity in a message.
inline constexpr std::chrono::hours kMaxMessageDuration{1};

/// Encodes the type as one byte, followed by the fields in cereal's portable binary format with
/// little-endian byte order.
std::string EncodeMessage(const Message& message);

/// Inverse of `EncodeMessage`. InvalidArgument if the bytes are malformed or a field exceeds the
/// limits above. Allocates at most a small multiple of `bytes.size()`.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MESSAGE_CODEC_H_
