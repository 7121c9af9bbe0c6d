#ifndef DAMASKROUTE_PEER_BOUNDED_INPUT_ARCHIVE_H_
#define DAMASKROUTE_PEER_BOUNDED_INPUT_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace damaskroute::internal {

/// Reads the little-endian output of `cereal::PortableBinaryOutputArchive`. Unlike cereal's own
/// input archive, it checks each size against the remaining bytes before allocating memory, and
/// reads from memory without a stream. Throws `cereal::Exception`.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), left_(bytes) {
    std::uint8_t little_endian = 0;
    LoadBytes(&little_endian, 1);
    if (little_endian != 1) throw cereal::Exception("unexpected byte order");
  }

  std::size_t bytes_left() const { return left_.size(); }

  void LoadBytes(void* target, std::size_t size) {
    if (size > left_.size()) throw cereal::Exception("unexpected end of input");
    if (size > 0) std::memcpy(target, left_.data(), size);
    left_.remove_prefix(size);
  }

 private:
  std::string_view left_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  static_assert(sizeof(T) == 1 || __BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__);
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.LoadBytes(&byte, 1);
    if (byte > 1) throw cereal::Exception("not a boolean");
    value = byte == 1;
  } else {
    archive.LoadBytes(&value, sizeof(T));
  }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

/// Each element takes at least one byte, so a size above the number of remaining bytes is
/// malformed.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<T>& tag) {
  std::uint64_t size = 0;
  archive.LoadBytes(&size, sizeof(size));
  if (size > archive.bytes_left()) throw cereal::Exception("size exceeds the input");
  tag.size = static_cast<std::size_t>(size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

/// Appends element by element, so that memory grows with the decoded data and not with the claimed
/// size.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, std::vector<T>& values) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  values.clear();
  for (; size > 0; --size) archive(values.emplace_back());
}

}  // namespace damaskroute::internal

// The half of CEREAL_SETUP_ARCHIVE_TRAITS for this archive. The macro itself would also redefine
// the input archive of the portable binary output archive.
namespace cereal::traits::detail {
template <>
struct get_output_from_input<damaskroute::internal::BoundedInputArchive> {
  using type = PortableBinaryOutputArchive;  // NOLINT(readability-identifier-naming)
};
}  // namespace cereal::traits::detail

CEREAL_REGISTER_ARCHIVE(damaskroute::internal::BoundedInputArchive)

#endif  // DAMASKROUTE_PEER_BOUNDED_INPUT_ARCHIVE_H_
