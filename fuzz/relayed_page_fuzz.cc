#include <cstdint>
#include <string>

#include "damaskroute/relay/node_record.h"
#include "damaskroute/relay/relayed_page.h"

// Decodes arbitrary bytes as messages between nodes, which must return an error or a value, never
// crash. A page that was decoded must survive a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::ParseNodeRecord(text);
  auto relayed = damaskroute::DecodeRelayedPage(text);
  if (relayed.ok()) {
    std::string bytes = damaskroute::EncodeRelayedPage(*relayed);
    auto decoded = damaskroute::DecodeRelayedPage(bytes);
    if (!decoded.ok() || decoded->page.as_of != relayed->page.as_of ||
        decoded->page.items.size() != relayed->page.items.size()) {
      __builtin_trap();
    }
  }
  return 0;
}
