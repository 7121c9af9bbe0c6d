#include "damaskroute/relay/relayed_page.h"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"

namespace damaskroute {

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, StoreItem& item) {
  archive(item.key, item.value, item.revision, item.removed);
}

namespace {

// First byte of each page; pages of another version are rejected.
constexpr std::uint8_t kFormat = 2;

template <typename Archive>
void Transfer(Archive& archive, std::uint8_t& format, RelayedPage& relayed) {
  std::int64_t age = relayed.age.count();
  std::int64_t held = relayed.held.count();
  archive(format, age, held, relayed.page.era, relayed.page.as_of, relayed.page.after_outage,
          relayed.page.items);
  relayed.age = std::chrono::microseconds(age);
  relayed.held = std::chrono::microseconds(held);
}

}  // namespace

Duration AgeOnArrival(const RelayedPage& relayed, TimePoint sent, TimePoint now) {
  Duration network_delay = now - sent - relayed.held;
  return relayed.age + std::max(network_delay, Duration::zero());
}

std::string EncodeRelayedPage(const RelayedPage& relayed) {
  std::string bytes;
  std::uint8_t format = kFormat;
  RelayedPage copy = relayed;  // The list of fields is shared with decoding.
  internal::AppendBinary(bytes, [&](auto& archive) { Transfer(archive, format, copy); });
  return bytes;
}

absl::StatusOr<RelayedPage> DecodeRelayedPage(std::string_view bytes) {
  RelayedPage relayed;
  std::uint8_t format = 0;
  try {
    internal::BoundedInputArchive archive(bytes);
    Transfer(archive, format, relayed);
    if (archive.bytes_left() != 0) {
      return absl::InvalidArgumentError("trailing bytes after the page");
    }
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (format != kFormat) return absl::InvalidArgumentError("unknown page format");
  if (relayed.age.count() < 0 || relayed.held.count() < 0) {
    return absl::InvalidArgumentError("the page has a negative time");
  }
  return relayed;
}

}  // namespace damaskroute
