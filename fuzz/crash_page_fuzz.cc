#include <cstdint>
#include <string_view>

#include "damaskroute/crashguard/crash_page.h"

// Decodes arbitrary bytes as crash records of another node, which must return an error or a value,
// never crash. A page that was decoded must survive a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  damaskroute::TimePoint now{std::chrono::hours(100)};
  auto page = damaskroute::DecodeCrashPage({reinterpret_cast<const char*>(data), size}, now);
  if (!page.ok()) return 0;
  auto decoded = damaskroute::DecodeCrashPage(damaskroute::EncodeCrashPage(*page, now), now);
  if (!decoded.ok() || decoded->records.size() != page->records.size()) __builtin_trap();
  return 0;
}
