#ifndef DAMASKROUTE_CONFIG_CONFIG_CODEC_H_
#define DAMASKROUTE_CONFIG_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// Compact encoding for the store and for peers (cereal portable binary). Equal documents give
/// equal bytes on all machines. InvalidArgument if a string is longer than 1,024 bytes or a number
/// is outside the range that `DecodeConfig` accepts.
absl::StatusOr<std::string> EncodeConfig(const ConfigDocument& document);

/// Inverse of `EncodeConfig`. Safe for untrusted bytes: allocates in proportion to the input.
/// InvalidArgument for anything that `EncodeConfig` does not produce.
absl::StatusOr<ConfigDocument> DecodeConfig(std::string_view bytes);

/// SHA-256 of `bytes` as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_CODEC_H_
