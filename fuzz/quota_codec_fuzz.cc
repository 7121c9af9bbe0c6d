#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "damaskroute/quota/quota_codec.h"

// Decodes the input; what can be decoded must have exactly one encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  auto message = damaskroute::DecodeQuotaMessage(bytes);
  if (message.ok() && damaskroute::EncodeQuotaMessage(*message) != bytes) std::abort();
  return 0;
}
