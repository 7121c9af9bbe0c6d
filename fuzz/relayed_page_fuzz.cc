#include <cstdint>
#include <string>

#include "damaskroute/relay/node_record.h"
#include "damaskroute/relay/relayed_page.h"

// Decodes arbitrary bytes as what nodes say to each other: an error or a value, never a crash. A
// page that is read is the same after it was written again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::ParseNodeRecord(text);
  auto relayed = damaskroute::DecodeRelayedPage(text);
  if (relayed.ok()) {
    std::string bytes = damaskroute::EncodeRelayedPage(*relayed);
    auto copy = damaskroute::DecodeRelayedPage(bytes);
    if (!copy.ok() || copy->page.as_of != relayed->page.as_of ||
        copy->page.items.size() != relayed->page.items.size()) {
      __builtin_trap();
    }
  }
  return 0;
}
