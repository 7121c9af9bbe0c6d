#include <cstdint>
#include <string>

#include "platform/config_codec.h"

// Parsing arbitrary bytes must return an error or a value, never crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::platform::ParseConfig(text);
  return 0;
}
