#ifndef DAMASKROUTE_SRC_CONFIG_CONFIG_BYTES_READER_H_
#define DAMASKROUTE_SRC_CONFIG_CONFIG_BYTES_READER_H_

#include <cstddef>
#include <cstdint>
#include <istream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cereal/archives/portable_binary.hpp"
#include "config_bytes.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute::internal {

/// Reads bytes in place and can skip some.
class ViewStreambuf : public std::streambuf {
 public:
  explicit ViewStreambuf(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // The get area is never written.
    setg(begin, begin, begin + bytes.size());
  }

  std::size_t position() const { return static_cast<std::size_t>(gptr() - eback()); }
  std::string_view rest() const { return {gptr(), static_cast<std::size_t>(egptr() - gptr())}; }
  void Skip(std::size_t size) { setg(eback(), gptr() + size, egptr()); }
};

/// Offset and size of an encoded service.
using ByteSpan = std::pair<std::size_t, std::size_t>;

/// A document that was read before, to take unchanged services from.
struct ReadConfig {
  std::string_view bytes;
  const ConfigDocument* document = nullptr;
  const std::vector<ByteSpan>* services = nullptr;
};

/// Reads one encoded configuration. Throws cereal::Exception.
class ConfigReader {
 public:
  explicit ConfigReader(std::string_view bytes) : buffer_(Checked(bytes)) {}

  /// The document, with `previous` as a source of equal services. `spans`, if given, receives the
  /// places of the services.
  ConfigDocument Document(const ReadConfig& previous = {}, std::vector<ByteSpan>* spans = nullptr) {
    ConfigDocument document;
    Require(Number<std::uint8_t>() == kConfigFormat, "unknown format");
    document.revision = Number<std::uint64_t>();
    document.change_id = Text();
    document.zones = List<Zone>([&] {
      Zone zone{Text(), Text(), Number<ZoneState>()};
      Require(zone.state <= ZoneState::kOut, "unknown zone state");
      return zone;
    });
    std::size_t next = 0;
    document.services = List<Service>([&] {
      std::size_t start = buffer_.position();
      Service service = NextService(previous, next);
      if (spans != nullptr) spans->push_back({start, buffer_.position() - start});
      return service;
    });
    document.fronts = List<SearchFront>([&] { return Front(); });
    Require(buffer_.rest().empty(), "bytes after the end");
    return document;
  }

 private:
  // The first byte states the byte order; the writer always writes 1 (little endian).
  static std::string_view Checked(std::string_view bytes) {
    Require(!bytes.empty() && bytes.front() == 1, "unknown byte order");
    return bytes;
  }

  // The encoding of a service has no prefix that is another service, so bytes that begin with those
  // of the previous service are that service. `next` is the first service of `previous` that has
  // not been met; services are sorted by name.
  Service NextService(const ReadConfig& previous, std::size_t& next) {
    if (previous.document == nullptr) return ReadService();
    const std::vector<Service>& services = previous.document->services;
    if (next < services.size()) {
      auto [offset, size] = (*previous.services)[next];
      if (buffer_.rest().starts_with(previous.bytes.substr(offset, size))) {
        buffer_.Skip(size);
        return services[next++];
      }
    }
    Service service = ReadService();
    while (next < services.size() && services[next].name <= service.name) ++next;
    return service;
  }

  Service ReadService() {
    Service service{Text(), Text(), Milliseconds(), {}};
    service.backends = List<BackendServer>([&] { return Backend(); });
    return service;
  }

  BackendServer Backend() {
    BackendServer backend;
    backend.name = Text();
    backend.zone = Text();
    backend.endpoint.address = Text();
    backend.endpoint.port = Number<std::uint16_t>();
    backend.slots = Number<std::int32_t>();
    backend.cold_slots = Number<std::int32_t>();
    backend.connections = Number<std::int32_t>();
    backend.intent = Number<BackendIntent>();
    CheckBackend(backend);
    return backend;
  }

  SearchFront Front() {
    SearchFront front;
    front.name = Text();
    front.service = Text();
    front.default_deadline = Milliseconds();
    front.objective.latency = Milliseconds();
    front.objective.latency_ratio = Number<double>();
    front.objective.coverage_ratio = Number<double>();
    CheckFront(front);
    return front;
  }

  template <typename T>
  T Number() {
    T value{};
    archive_(value);
    return value;
  }

  std::chrono::milliseconds Milliseconds() {
    return std::chrono::milliseconds(Number<std::int64_t>());
  }

  std::string Text() {
    auto size = Number<std::uint16_t>();
    Require(size <= kMaxConfigTextBytes, "text too long");
    std::string text(size, '\0');
    archive_(cereal::binary_data(text.data(), text.size()));
    return text;
  }

  // Grows with the entries read, so a false count allocates nothing.
  template <typename T, typename Read>
  std::vector<T> List(Read read) {
    auto count = Number<std::uint32_t>();
    Require(count <= kMaxConfigEntries, "list too long");
    std::vector<T> entries;
    for (std::uint32_t i = 0; i < count; ++i) entries.push_back(read());
    return entries;
  }

  ViewStreambuf buffer_;
  std::istream stream_{&buffer_};
  cereal::PortableBinaryInputArchive archive_{stream_};
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_CONFIG_CONFIG_BYTES_READER_H_
