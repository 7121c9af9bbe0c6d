#include <cstdint>
#include <string_view>

#include "damaskroute/intent/chunks.h"
#include "damaskroute/intent/config_head.h"

// Decodes arbitrary bytes as the configuration head and manifest that the store returns.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::DecodeHead(text);
  (void)damaskroute::DecodeManifest(text);
  return 0;
}
