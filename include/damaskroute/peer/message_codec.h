#ifndef DAMASKROUTE_PEER_MESSAGE_CODEC_H_
#define DAMASKROUTE_PEER_MESSAGE_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/peer/message.h"

namespace damaskroute {

/// Greatest size of an encoded message in bytes.
inline constexpr std::size_t kMaxMessageSize = 16 << 20;

/// Greatest size of names, ids and request ids in a message, in bytes.
inline constexpr std::size_t kMaxNameSize = 512;

/// Greatest time left or validity in a message.
inline constexpr std::chrono::hours kMaxMessageDuration{1};

/// Type byte followed by the fields in cereal's portable binary format, little endian.
std::string EncodeMessage(const Message& message);

/// Reverse of `EncodeMessage`. InvalidArgument for anything that it cannot produce within the
/// limits above. Allocates at most a small multiple of `bytes.size()`.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MESSAGE_CODEC_H_
