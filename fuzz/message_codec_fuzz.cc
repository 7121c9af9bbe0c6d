#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "damaskroute/peer/message_codec.h"

// Whatever decodes must encode to a message that decodes to the same bytes again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  auto message =
      damaskroute::DecodeMessage(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!message.ok()) return 0;
  std::string bytes = damaskroute::EncodeMessage(*message);
  auto again = damaskroute::DecodeMessage(bytes);
  if (!again.ok() || damaskroute::EncodeMessage(*again) != bytes) std::abort();
  return 0;
}
