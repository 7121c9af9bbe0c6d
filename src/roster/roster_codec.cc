#include "damaskroute/roster/roster_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <map>
#include <sstream>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/peer/bounded_input_archive.h"

namespace damaskroute {
namespace {

using internal::BoundedInputArchive;
using Output = cereal::PortableBinaryOutputArchive;

// First bytes of each encoded roster; a later form gets another number.
constexpr std::uint32_t kFormat = 0x31525344;

enum Flag : std::uint8_t { kLeaving = 1, kRenewed = 2, kIpV6 = 4 };
constexpr std::uint8_t kAllFlags = kLeaving | kRenewed | kIpV6;

bool IsName(const std::string& name) { return !name.empty() && name.size() <= kMaxSeatNameLength; }

void Require(bool condition, const char* message) {
  if (!condition) throw cereal::Exception(message);
}

void WriteText(Output& output, std::string_view text) {
  output(static_cast<std::uint8_t>(text.size()));
  output(cereal::binary_data(text.data(), text.size()));
}

std::string ReadText(BoundedInputArchive& input) {
  std::uint8_t size = 0;
  input(size);
  Require(size <= kMaxSeatNameLength, "a name is too long");
  std::string text(size, '\0');
  input(cereal::binary_data(text.data(), text.size()));
  return text;
}

template <typename Bytes>
void WriteBytes(Output& output, const Bytes& bytes) {
  output(cereal::binary_data(bytes.data(), bytes.size()));
}

template <typename Address>
std::string ReadAddress(BoundedInputArchive& input) {
  typename Address::bytes_type bytes;
  input(cereal::binary_data(bytes.data(), bytes.size()));
  Address address(bytes);
  return address.to_string();
}

void WriteSeat(Output& output, const Seat& seat, const NodeName& previous, std::uint8_t zone) {
  auto shared = static_cast<std::size_t>(
      std::mismatch(previous.begin(), previous.end(), seat.node.begin(), seat.node.end()).first -
      previous.begin());
  output(static_cast<std::uint8_t>(shared));
  WriteText(output, std::string_view(seat.node).substr(shared));
  boost::system::error_code error;
  auto address = asio::ip::make_address(seat.peer.address, error);
  std::uint8_t flags =
      (seat.leaving ? kLeaving : 0) | (seat.renewed ? kRenewed : 0) | (address.is_v6() ? kIpV6 : 0);
  output(zone, flags, seat.peer.port, seat.incarnation);
  if (address.is_v6()) {
    WriteBytes(output, address.to_v6().to_bytes());
  } else {
    WriteBytes(output, address.to_v4().to_bytes());
  }
}

Seat ReadSeat(BoundedInputArchive& input, const NodeName& previous,
              const std::vector<ZoneName>& zones) {
  Seat seat;
  std::uint8_t shared = 0;
  input(shared);
  Require(shared <= previous.size(), "a name shares more than its predecessor has");
  seat.node = previous.substr(0, shared) + ReadText(input);
  Require(IsName(seat.node) && previous < seat.node, "seats are not sorted by names");
  std::uint8_t zone = 0;
  std::uint8_t flags = 0;
  input(zone, flags, seat.peer.port, seat.incarnation);
  Require(zone < zones.size() && (flags & ~kAllFlags) == 0 && seat.peer.port != 0,
          "invalid zone, flags or port");
  seat.zone = zones[zone];
  seat.leaving = (flags & kLeaving) != 0;
  seat.renewed = (flags & kRenewed) != 0;
  seat.peer.address = (flags & kIpV6) != 0 ? ReadAddress<asio::ip::address_v6>(input)
                                           : ReadAddress<asio::ip::address_v4>(input);
  return seat;
}

Roster ReadRoster(BoundedInputArchive& input) {
  std::uint32_t format = 0;
  std::uint8_t zone_count = 0;
  std::uint32_t seat_count = 0;
  Roster roster;
  input(format, roster.revision, zone_count);
  Require(format == kFormat, "unknown format");
  std::vector<ZoneName> zones;
  for (std::uint8_t i = 0; i < zone_count; ++i) {
    zones.push_back(ReadText(input));
    Require(IsName(zones.back()), "a zone has no name");
  }
  input(seat_count);
  Require(seat_count <= kMaxSeats, "too many seats");
  NodeName previous;
  for (std::uint32_t i = 0; i < seat_count; ++i) {
    roster.seats.push_back(ReadSeat(input, previous, zones));
    previous = roster.seats.back().node;
  }
  Require(input.bytes_left() == 0, "bytes follow the last seat");
  return roster;
}

}  // namespace

bool IsEncodable(const Seat& seat) {
  boost::system::error_code error;
  asio::ip::make_address(seat.peer.address, error);
  return !error && seat.peer.port != 0 && IsName(seat.node) && IsName(seat.zone);
}

std::string EncodeRoster(const Roster& roster) {
  std::map<ZoneName, std::uint8_t> zones;
  for (const Seat& seat : roster.seats) zones.emplace(seat.zone, 0);
  std::ostringstream stream;
  Output output(stream, Output::Options::LittleEndian());
  output(kFormat, roster.revision, static_cast<std::uint8_t>(zones.size()));
  std::uint8_t next = 0;
  for (auto& [zone, number] : zones) {
    number = next++;
    WriteText(output, zone);
  }
  output(static_cast<std::uint32_t>(roster.seats.size()));
  NodeName previous;
  for (const Seat& seat : roster.seats) {
    WriteSeat(output, seat, previous, zones.at(seat.zone));
    previous = seat.node;
  }
  return std::move(stream).str();
}

absl::StatusOr<Roster> DecodeRoster(std::string_view bytes) {
  if (bytes.size() > kMaxRosterBytes) return absl::InvalidArgumentError("roster is too long");
  try {
    BoundedInputArchive input(bytes);
    return ReadRoster(input);
  } catch (const cereal::Exception& e) {
    return absl::InvalidArgumentError(std::string("invalid roster: ") + e.what());
  }
}

}  // namespace damaskroute
