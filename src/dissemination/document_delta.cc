#include "damaskroute/dissemination/document_delta.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <unordered_map>

namespace damaskroute {
namespace {

// A delta is a sequence of operations. Each is a kind byte followed by little-endian 32-bit
// numbers: kCopy offset size, or kInsert size and that many bytes.
enum class Operation : char { kCopy = 0, kInsert = 1 };

constexpr std::size_t kBlockSize = 32;

// Base of the Rabin-Karp rolling hash over a block, modulo 2^64.
constexpr std::uint64_t kHashBase = 0x9E3779B97F4A7C15;

std::uint64_t BlockHash(std::string_view block) {
  std::uint64_t hash = 0;
  for (char byte : block) hash = hash * kHashBase + static_cast<unsigned char>(byte);
  return hash;
}

// Returns kHashBase to the power of kBlockSize - 1, the weight of the byte that leaves the block.
constexpr std::uint64_t OutgoingByteWeight() {
  std::uint64_t weight = 1;
  for (std::size_t i = 1; i < kBlockSize; ++i) weight *= kHashBase;
  return weight;
}

void AppendNumber(std::string& target, std::size_t value) {
  unsigned char bytes[4];
  boost::endian::store_little_u32(bytes, static_cast<std::uint32_t>(value));
  target.append(reinterpret_cast<const char*>(bytes), sizeof(bytes));
}

void AppendCopy(std::string& delta, std::size_t offset, std::size_t size) {
  if (size == 0) return;
  delta.push_back(static_cast<char>(Operation::kCopy));
  AppendNumber(delta, offset);
  AppendNumber(delta, size);
}

void AppendInsert(std::string& delta, std::string_view bytes) {
  if (bytes.empty()) return;
  delta.push_back(static_cast<char>(Operation::kInsert));
  AppendNumber(delta, bytes.size());
  delta.append(bytes);
}

std::size_t CommonPrefix(std::string_view a, std::string_view b) {
  std::size_t limit = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(limit), b.begin()).first -
      a.begin());
}

std::optional<std::uint32_t> TakeNumber(std::string_view& bytes) {
  if (bytes.size() < 4) return std::nullopt;
  auto value = boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
  bytes.remove_prefix(4);
  return value;
}

}  // namespace

std::string MakeDelta(std::string_view base, std::string_view target) {
  std::unordered_map<std::uint64_t, std::size_t> blocks;
  blocks.reserve(base.size() / kBlockSize);
  for (std::size_t at = 0; at + kBlockSize <= base.size(); at += kBlockSize) {
    blocks.try_emplace(BlockHash(base.substr(at, kBlockSize)), at);
  }
  std::string delta;
  std::size_t at = CommonPrefix(base, target);
  AppendCopy(delta, 0, at);
  std::size_t unmatched = at;  // Start of the bytes that the delta does not cover yet.
  std::uint64_t hash = 0;
  bool hash_valid = false;
  while (at + kBlockSize <= target.size()) {
    if (!hash_valid) hash = BlockHash(target.substr(at, kBlockSize));
    auto block = blocks.find(hash);
    std::size_t size =
        block == blocks.end() ? 0 : CommonPrefix(base.substr(block->second), target.substr(at));
    if (size >= kBlockSize) {
      // Extend the match to the left over bytes that would otherwise be inserted.
      std::size_t left = 0;
      while (left < block->second && at - left > unmatched &&
             base[block->second - left - 1] == target[at - left - 1]) {
        ++left;
      }
      AppendInsert(delta, target.substr(unmatched, at - left - unmatched));
      AppendCopy(delta, block->second - left, size + left);
      at += size;
      unmatched = at;
      hash_valid = false;
      continue;
    }
    if (at + kBlockSize < target.size()) {
      static constexpr std::uint64_t kWeight = OutgoingByteWeight();
      hash -= kWeight * static_cast<unsigned char>(target[at]);
      hash = hash * kHashBase + static_cast<unsigned char>(target[at + kBlockSize]);
    }
    hash_valid = true;
    ++at;
  }
  AppendInsert(delta, target.substr(unmatched));
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta) {
  std::string target;
  while (!delta.empty()) {
    auto operation = static_cast<Operation>(delta[0]);
    delta.remove_prefix(1);
    std::optional<std::uint32_t> offset = operation == Operation::kCopy ? TakeNumber(delta) : 0;
    std::optional<std::uint32_t> size = TakeNumber(delta);
    if (!offset.has_value() || !size.has_value()) return std::nullopt;
    std::string_view source = operation == Operation::kCopy ? base : delta;
    if (operation > Operation::kInsert || *offset > source.size() ||
        *size > source.size() - *offset || *size > kMaxDocumentSize - target.size()) {
      return std::nullopt;
    }
    target.append(source.substr(*offset, *size));
    if (operation == Operation::kInsert) delta.remove_prefix(*size);
  }
  return target;
}

}  // namespace damaskroute
