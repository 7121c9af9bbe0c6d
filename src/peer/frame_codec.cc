#include "damaskroute/peer/frame_codec.h"

#include <boost/endian/conversion.hpp>

namespace damaskroute {
namespace {

// Key id and sequence number as they are signed and transmitted.
std::string FramePrefix(std::uint8_t key_id, std::uint64_t sequence) {
  std::string prefix(9, static_cast<char>(key_id));
  boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(prefix.data() + 1), sequence);
  return prefix;
}

}  // namespace

std::uint32_t ReadFrameLength(std::string_view bytes) {
  return boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

void AppendFrameLength(std::string& target, std::size_t size) {
  unsigned char length[kFrameLengthSize];
  boost::endian::store_little_u32(length, static_cast<std::uint32_t>(size));
  target.append(reinterpret_cast<const char*>(length), kFrameLengthSize);
}

FrameWriter::FrameWriter(std::uint8_t key_id, std::string_view session_secret)
    : key_id_(key_id), mac_(session_secret) {}

void FrameWriter::Append(std::string& target, std::string_view payload) {
  std::string prefix = FramePrefix(key_id_, sequence_++);
  MacTag tag = mac_.Compute({prefix, payload});
  AppendFrameLength(target, kFrameHeaderSize + payload.size());
  target.append(prefix).append(tag.data(), tag.size()).append(payload);
}

FrameReader::FrameReader(std::uint8_t key_id, std::string_view session_secret)
    : key_id_(key_id), mac_(session_secret) {}

bool FrameReader::Read(std::string_view frame, std::string_view& payload) {
  if (frame.size() < kFrameHeaderSize) return false;
  std::string prefix = FramePrefix(key_id_, sequence_);
  if (frame.substr(0, prefix.size()) != prefix) return false;
  payload = frame.substr(kFrameHeaderSize);
  if (!mac_.Verify({prefix, payload}, frame.substr(prefix.size(), kMacSize))) return false;
  ++sequence_;
  return true;
}

}  // namespace damaskroute
