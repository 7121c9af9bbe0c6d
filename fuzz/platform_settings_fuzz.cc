#include <cstdint>
#include <string>

#include "platform/settings_file.h"

// Decodes arbitrary bytes: an error or a value, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::platform::ParseSettings("fuzz", text);
  return 0;
}
