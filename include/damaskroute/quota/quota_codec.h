#ifndef DAMASKROUTE_QUOTA_QUOTA_CODEC_H_
#define DAMASKROUTE_QUOTA_QUOTA_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/quota/quota_message.h"

namespace damaskroute {

/// Size limit of an encoded message, in bytes.
inline constexpr std::size_t kMaxQuotaDatagram = 512;

/// Encodes a message for one datagram. Names are cut to 255 bytes.
std::string EncodeQuotaMessage(const QuotaMessage& message);

/// Decodes a datagram; InvalidArgument if it is not an encoded message. Accepts any bytes.
absl::StatusOr<QuotaMessage> DecodeQuotaMessage(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_CODEC_H_
