#ifndef DAMASKROUTE_CORE_BINARY_WRITER_H_
#define DAMASKROUTE_CORE_BINARY_WRITER_H_

#include <cereal/archives/portable_binary.hpp>
#include <ostream>
#include <streambuf>
#include <string>

namespace damaskroute::internal {

/// Stream buffer that appends to a string, for cereal's output archive.
class StringStreambuf : public std::streambuf {
 public:
  explicit StringStreambuf(std::string& target) : target_(target) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    target_.append(data, static_cast<std::size_t>(size));
    return size;
  }
  int_type overflow(int_type byte) override {
    if (byte != traits_type::eof()) target_.push_back(static_cast<char>(byte));
    return byte;
  }

 private:
  std::string& target_;
};

/// Appends the output of `write(archive)` in little-endian byte order, the format that
/// `BoundedInputArchive` reads.
template <typename Write>
void AppendBinary(std::string& bytes, const Write& write) {
  StringStreambuf buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  write(archive);
}

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_CORE_BINARY_WRITER_H_
