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

/// Decodes the successive revisions of a configuration. Services whose bytes equal those in
/// the previous revision are not decoded again and share their backend servers with it: decoding
/// 36,000 backend servers takes 12 ms, and a change affects few of them.
class ConfigDecoder {
 public:
  /// Same result as `DecodeConfig`. Retains `bytes`, which must not be null, until the next
  /// successful call.
  absl::StatusOr<ConfigDocument> Decode(std::shared_ptr<const std::string> bytes);

 private:
  std::shared_ptr<const std::string> bytes_;
  ConfigDocument document_;
  std::vector<std::pair<std::size_t, std::size_t>> service_spans_;  // Offset and size.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_DECODER_H_
