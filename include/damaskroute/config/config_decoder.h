#ifndef DAMASKROUTE_CONFIG_CONFIG_DECODER_H_
#define DAMASKROUTE_CONFIG_CONFIG_DECODER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// Decodes the successive revisions of a configuration. Services whose bytes are equal to those of
/// the revision before are not decoded again, and share their backend servers with it: decoding
/// 36,000 backend servers takes 12 ms, and a change touches few of them.
class ConfigDecoder {
 public:
  /// Same result as `DecodeConfig`. Keeps `bytes`, which must not be null, until the next call
  /// that succeeds.
  absl::StatusOr<ConfigDocument> Decode(std::shared_ptr<const std::string> bytes);

 private:
  std::shared_ptr<const std::string> bytes_;
  ConfigDocument document_;
  std::vector<std::pair<std::size_t, std::size_t>> services_;  // Offset and size.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_DECODER_H_
