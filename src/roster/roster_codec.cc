#include "damaskroute/roster/roster_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <sstream>

#include "damaskroute/peer/bounded_input_archive.h"

namespace damaskroute {

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, Seat& value) {
  archive(value.node, value.zone, value.peer.address, value.peer.port, value.incarnation,
          value.leaving);
}

namespace {

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kMaxNameBytes = 256;

bool IsSortedByNode(const Roster& roster) {
  return std::is_sorted(roster.seats.begin(), roster.seats.end(),
                        [](const Seat& a, const Seat& b) { return a.node < b.node; }) &&
         std::adjacent_find(roster.seats.begin(), roster.seats.end(),
                            [](const Seat& a, const Seat& b) { return a.node == b.node; }) ==
             roster.seats.end();
}

bool HasValidNames(const Roster& roster) {
  return std::all_of(roster.seats.begin(), roster.seats.end(), [](const Seat& seat) {
    return !seat.node.empty() && seat.node.size() <= kMaxNameBytes &&
           seat.zone.size() <= kMaxNameBytes && seat.peer.address.size() <= kMaxNameBytes;
  });
}

}  // namespace

std::string EncodeRoster(const Roster& roster) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(
        stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(kFormat, roster.revision, roster.seats);
  }
  return stream.str();
}

absl::StatusOr<Roster> DecodeRoster(std::string_view bytes) {
  Roster roster;
  try {
    std::uint8_t format = 0;
    internal::BoundedInputArchive archive(bytes);
    archive(format, roster.revision, roster.seats);
    if (format != kFormat || archive.bytes_left() != 0) {
      return absl::InvalidArgumentError("the roster has an unknown format");
    }
  } catch (const cereal::Exception&) {
    return absl::InvalidArgumentError("the roster is cut short or has a wrong size");
  }
  if (!IsSortedByNode(roster) || !HasValidNames(roster)) {
    return absl::InvalidArgumentError("the roster has invalid seats");
  }
  return roster;
}

}  // namespace damaskroute
