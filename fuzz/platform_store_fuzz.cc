#include <cstdint>
#include <string>

#include "platform/platform.h"
#include "platform/store_codec.h"

// Parses arbitrary bytes as responses of the store, and their items as store entries.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  damaskroute::platform::StoreCodec codec;
  damaskroute::platform::Platform platform;
  (void)codec.ParseRead(200, text);
  (void)codec.ParseLease(200, text);
  auto page = codec.ParseWatch(200, text);
  if (!page.ok()) return 0;
  for (const auto& item : page->items) (void)platform.ParseStoreEntry(item);
  return 0;
}
