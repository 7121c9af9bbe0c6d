#include <cstdint>
#include <string>

#include "damaskroute/config/declaration.h"

// Parses arbitrary text as a declaration.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::ParseDeclaration({{"fuzz.yaml", text}});
  return 0;
}
