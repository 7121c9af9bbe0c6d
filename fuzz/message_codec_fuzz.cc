#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "damaskroute/peer/message_codec.h"

// A message that decodes must survive another round trip: its encoding decodes and encodes to the
// same bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  auto message =
      damaskroute::DecodeMessage(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!message.ok()) return 0;
  std::string bytes = damaskroute::EncodeMessage(*message);
  auto again = damaskroute::DecodeMessage(bytes);
  if (!again.ok() || damaskroute::EncodeMessage(*again) != bytes) std::abort();
  return 0;
}
