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

// First bytes of an encoded roster; identifies the version of the format.
constexpr std::uint32_t kFormat = 0x31525344;

enum Flag : std::uint8_t { kLeaving = 1, kHadPredecessor = 2, kIpV6 = 4 };
constexpr std::uint8_t kAllFlags = kLeaving | kHadPredecessor | kIpV6;

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxRosterNameLength;
}

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
  Require(size <= kMaxRosterNameLength, "a name is too long");
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

void WriteEntry(Output& output, const RosterEntry& entry, const NodeName& previous,
                std::uint8_t zone) {
  auto shared = static_cast<std::size_t>(
      std::mismatch(previous.begin(), previous.end(), entry.node.begin(), entry.node.end()).first -
      previous.begin());
  output(static_cast<std::uint8_t>(shared));
  WriteText(output, std::string_view(entry.node).substr(shared));
  boost::system::error_code error;
  auto address = asio::ip::make_address(entry.peer.address, error);
  std::uint8_t flags = (entry.leaving ? kLeaving : 0) |
                       (entry.had_predecessor ? kHadPredecessor : 0) |
                       (address.is_v6() ? kIpV6 : 0);
  output(zone, flags, entry.peer.port, entry.incarnation);
  if (address.is_v6()) {
    WriteBytes(output, address.to_v6().to_bytes());
  } else {
    WriteBytes(output, address.to_v4().to_bytes());
  }
}

RosterEntry ReadEntry(BoundedInputArchive& input, const NodeName& previous,
                      const std::vector<ZoneName>& zones) {
  RosterEntry entry;
  std::uint8_t shared = 0;
  input(shared);
  Require(shared <= previous.size(), "a shared prefix is longer than the previous name");
  entry.node = previous.substr(0, shared) + ReadText(input);
  Require(IsName(entry.node) && previous < entry.node, "entries are not sorted by node name");
  std::uint8_t zone = 0;
  std::uint8_t flags = 0;
  input(zone, flags, entry.peer.port, entry.incarnation);
  Require(zone < zones.size() && (flags & ~kAllFlags) == 0 && entry.peer.port != 0,
          "invalid zone, flags or port");
  entry.zone = zones[zone];
  entry.leaving = (flags & kLeaving) != 0;
  entry.had_predecessor = (flags & kHadPredecessor) != 0;
  entry.peer.address = (flags & kIpV6) != 0 ? ReadAddress<asio::ip::address_v6>(input)
                                            : ReadAddress<asio::ip::address_v4>(input);
  return entry;
}

Roster ReadRoster(BoundedInputArchive& input) {
  std::uint32_t format = 0;
  std::uint8_t zone_count = 0;
  std::uint32_t entry_count = 0;
  Roster roster;
  input(format, roster.revision, zone_count);
  Require(format == kFormat, "unknown format");
  std::vector<ZoneName> zones;
  for (std::uint8_t i = 0; i < zone_count; ++i) {
    zones.push_back(ReadText(input));
    Require(IsName(zones.back()), "a zone has no name");
  }
  input(entry_count);
  Require(entry_count <= kMaxRosterEntries, "too many entries");
  NodeName previous;
  for (std::uint32_t i = 0; i < entry_count; ++i) {
    roster.node_entries.push_back(ReadEntry(input, previous, zones));
    previous = roster.node_entries.back().node;
  }
  Require(input.bytes_left() == 0, "bytes follow the last entry");
  return roster;
}

}  // namespace

bool IsEncodable(const RosterEntry& entry) {
  boost::system::error_code error;
  asio::ip::make_address(entry.peer.address, error);
  return !error && entry.peer.port != 0 && IsName(entry.node) && IsName(entry.zone);
}

std::string EncodeRoster(const Roster& roster) {
  std::map<ZoneName, std::uint8_t> zones;
  for (const RosterEntry& entry : roster.node_entries) zones.emplace(entry.zone, 0);
  std::ostringstream stream;
  Output output(stream, Output::Options::LittleEndian());
  output(kFormat, roster.revision, static_cast<std::uint8_t>(zones.size()));
  std::uint8_t next = 0;
  for (auto& [zone, number] : zones) {
    number = next++;
    WriteText(output, zone);
  }
  output(static_cast<std::uint32_t>(roster.node_entries.size()));
  NodeName previous;
  for (const RosterEntry& entry : roster.node_entries) {
    WriteEntry(output, entry, previous, zones.at(entry.zone));
    previous = entry.node;
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
