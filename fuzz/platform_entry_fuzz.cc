#include <cstdint>
#include <string>

#include "platform/entry_codec.h"

// Parsing arbitrary bytes must return an error or a value, never crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::platform::ParseEntry("i-1", text);
  return 0;
}
