#include <cstdint>
#include <string_view>

#include "damaskroute/config/config_codec.h"

// Decodes arbitrary bytes; a document that was decoded must encode to the same bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  absl::StatusOr<damaskroute::ConfigDocument> document = damaskroute::DecodeConfig(bytes);
  if (document.ok() && *damaskroute::EncodeConfig(*document) != bytes) __builtin_trap();
  return 0;
}
