#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "damaskroute/roster/roster_codec.h"

// Decodes arbitrary bytes as a roster from the store or a peer; an accepted roster must survive a
// round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  auto roster =
      damaskroute::DecodeRoster(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!roster.ok()) return 0;
  auto again = damaskroute::DecodeRoster(damaskroute::EncodeRoster(*roster));
  if (!again.ok() || *again != *roster) std::abort();
  return 0;
}
