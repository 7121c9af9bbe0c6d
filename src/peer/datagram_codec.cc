#include "damaskroute/peer/datagram_codec.h"

#include <cereal/types/common.hpp>
#include <cstdint>
#include <utility>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"

namespace damaskroute {
namespace {

// String with a size of one byte. Cereal uses 8 bytes for the size of a string, which is too much
// for the short names in a datagram.
struct ShortString {
  std::string& text;
};

template <typename Archive>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive, const ShortString& value) {
  archive(static_cast<std::uint8_t>(value.text.size()),
          cereal::binary_data(value.text.data(), value.text.size()));
}

template <typename Archive>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, ShortString& value) {
  std::uint8_t size = 0;
  archive(size);
  if (size > kMaxMemberNameSize) throw cereal::Exception("string is too long");
  value.text.resize(size);
  archive(cereal::binary_data(value.text.data(), value.text.size()));
}

template <typename Archive>
void ArchiveString(Archive& archive, std::string& text) {
  ShortString value{text};
  archive(value);
}

template <typename Archive>
void ArchiveFields(Archive& archive, Endpoint& endpoint) {
  ArchiveString(archive, endpoint.address);
  archive(endpoint.port);
}

template <typename Archive>
void ArchiveFields(Archive& archive, Member& member) {
  ArchiveString(archive, member.node);
  ArchiveString(archive, member.zone);
  ArchiveFields(archive, member.endpoint);
  archive(member.incarnation, member.refutation, member.state);
}

template <typename Archive>
void ArchiveHeader(Archive& archive, PeerDatagram& datagram) {
  archive(datagram.kind, datagram.sequence, datagram.probe_id);
  ArchiveFields(archive, datagram.sender);
  ArchiveFields(archive, datagram.target);
  archive(datagram.config_revision, datagram.roster_revision);
}

bool HasValidSizes(const Member& member) {
  return member.node.size() <= kMaxMemberNameSize && member.zone.size() <= kMaxMemberNameSize &&
         member.endpoint.address.size() <= kMaxMemberNameSize;
}

bool IsValid(const Member& member) { return member.state <= MemberState::kLeft; }

constexpr std::size_t kKeyIdSize = 1;
constexpr std::size_t kEndiannessSize = 1;
constexpr std::size_t kUpdateCountSize = 1;

std::size_t EndpointSize(const Endpoint& endpoint) { return 1 + endpoint.address.size() + 2; }

}  // namespace

std::size_t UpdateSize(const Member& update) {
  return 1 + update.node.size() + 1 + update.zone.size() + EndpointSize(update.endpoint) + 8 + 4 +
         1;
}

std::size_t DatagramSize(const PeerDatagram& datagram) {
  std::size_t size = kKeyIdSize + kEndiannessSize + 1 + 8 + 8 + UpdateSize(datagram.sender) +
                     EndpointSize(datagram.target) + 8 + 8 + 4 + kUpdateCountSize + kMacSize;
  for (const Member& update : datagram.updates) size += UpdateSize(update);
  return size;
}

DatagramCodec::DatagramCodec(const PeerKeys& keys) {
  keys_.emplace_back(static_cast<char>(keys.current.id), MacKey(keys.current.secret));
  if (keys.other.has_value()) {
    keys_.emplace_back(static_cast<char>(keys.other->id), MacKey(keys.other->secret));
  }
}

absl::StatusOr<std::string> DatagramCodec::Encode(const PeerDatagram& datagram) {
  bool fits = HasValidSizes(datagram.sender) &&
              datagram.target.address.size() <= kMaxMemberNameSize &&
              datagram.updates.size() <= 255 && DatagramSize(datagram) <= kMaxDatagramSize;
  for (const Member& update : datagram.updates) fits = fits && HasValidSizes(update);
  if (!fits) return absl::InvalidArgumentError("datagram is too long");
  PeerDatagram copy = datagram;  // The field lists, shared with decoding, take mutable references.
  std::string bytes(1, keys_.front().first);
  bytes.reserve(kMaxDatagramSize);
  internal::AppendBinary(bytes, [&](auto& archive) {
    ArchiveHeader(archive, copy);
    archive(static_cast<std::uint32_t>(copy.store_age.count()));
    archive(static_cast<std::uint8_t>(copy.updates.size()));
    for (Member& update : copy.updates) ArchiveFields(archive, update);
  });
  MacTag tag = keys_.front().second.Compute({bytes});
  return bytes.append(tag.data(), tag.size());
}

absl::StatusOr<PeerDatagram> DatagramCodec::Decode(std::string_view bytes) {
  if (bytes.size() < kKeyIdSize + kMacSize || bytes.size() > kMaxDatagramSize) {
    return absl::InvalidArgumentError("datagram has an invalid size");
  }
  std::string_view fields = bytes.substr(0, bytes.size() - kMacSize);
  bool authentic = false;
  for (auto& [id, key] : keys_) {
    if (id == bytes[0]) authentic = key.Verify({fields}, bytes.substr(fields.size()));
  }
  if (!authentic) return absl::PermissionDeniedError("datagram is not signed by a known key");
  PeerDatagram datagram;
  try {
    internal::BoundedInputArchive archive(fields.substr(kKeyIdSize));
    ArchiveHeader(archive, datagram);
    std::uint32_t store_age = 0;
    std::uint8_t count = 0;
    archive(store_age, count);
    datagram.store_age = std::chrono::milliseconds(store_age);
    bool valid = datagram.store_age <= kMaxStoreAge && IsValid(datagram.sender) &&
                 datagram.kind <= DatagramKind::kIndirectProbe;
    for (; valid && count > 0; --count) {
      ArchiveFields(archive, datagram.updates.emplace_back());
      valid = IsValid(datagram.updates.back());
    }
    if (valid && archive.bytes_left() == 0) return datagram;
  } catch (const cereal::Exception&) {
    return absl::InvalidArgumentError("datagram is truncated");
  }
  return absl::InvalidArgumentError("datagram has a field outside its limits");
}

}  // namespace damaskroute
