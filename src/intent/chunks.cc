#include "damaskroute/intent/chunks.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "damaskroute/config/config_codec.h"

namespace damaskroute {
namespace {

constexpr std::size_t kMaxManifestEntries = 4096;
constexpr std::size_t kHashDigits = 64;

// Table of the gear hash, filled by splitmix64. All nodes must use the same numbers, otherwise
// they split the same document differently and rewrite chunks that exist.
constexpr std::array<std::uint64_t, 256> MakeGearTable() {
  std::array<std::uint64_t, 256> table{};
  std::uint64_t state = 0;
  for (std::uint64_t& entry : table) {
    state += 0x9e3779b97f4a7c15;
    std::uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    entry = z ^ (z >> 31);
  }
  return table;
}

constexpr std::array<std::uint64_t, 256> kGear = MakeGearTable();

std::size_t NextChunkSize(std::string_view bytes, const ChunkSizes& sizes) {
  std::size_t end = std::min(bytes.size(), sizes.max);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < end; ++i) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(bytes[i])];
    // The top bits depend on the last 64 bytes, the low ones on fewer.
    bool boundary = ((hash >> 32) & (sizes.average - 1)) == 0;
    if (boundary && i + 1 >= sizes.min) return i + 1;
  }
  return end;
}

}  // namespace

std::vector<std::string> SplitChunks(std::string_view bytes, ChunkSizes sizes) {
  std::vector<std::string> chunks;
  while (!bytes.empty()) {
    std::size_t size = NextChunkSize(bytes, sizes);
    chunks.emplace_back(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return chunks;
}

std::string EncodeManifest(const std::vector<std::string>& chunks) {
  std::string text;
  for (const std::string& chunk : chunks) text += Sha256Hex(chunk) + "\n";
  return text;
}

absl::StatusOr<std::vector<std::string>> DecodeManifest(std::string_view text) {
  constexpr std::size_t kLine = kHashDigits + 1;
  if (text.size() % kLine != 0 || text.size() / kLine > kMaxManifestEntries) {
    return absl::InvalidArgumentError("the chunk list is not readable");
  }
  std::vector<std::string> hashes;
  for (; !text.empty(); text.remove_prefix(kLine)) {
    std::string hash(text.substr(0, kHashDigits));
    if (text[kHashDigits] != '\n' ||
        hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return absl::InvalidArgumentError("the chunk list is not readable");
    }
    hashes.push_back(std::move(hash));
  }
  return hashes;
}

}  // namespace damaskroute
