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
#include "config_format.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute::internal {

/// Stream buffer that reads from a view without copying it and can skip bytes.
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

/// A document that was decoded before, from which unchanged services are reused.
struct DecodedConfig {
  std::string_view bytes;
  const ConfigDocument* document = nullptr;
  const std::vector<ByteSpan>* service_spans = nullptr;
};

/// Decodes one configuration. Throws cereal::Exception if the bytes are invalid.
class ConfigBytesReader {
 public:
  explicit ConfigBytesReader(std::string_view bytes) : buffer_(WithCheckedByteOrder(bytes)) {}

  /// Decodes the document and reuses the services that are equal in `previous`. Appends the byte
  /// spans of the services to `service_spans` unless it is null.
  ConfigDocument ReadDocument(const DecodedConfig& previous = {},
                              std::vector<ByteSpan>* service_spans = nullptr) {
    ConfigDocument document;
    Require(ReadNumber<std::uint8_t>() == kConfigFormat, "unknown format");
    document.revision = ReadNumber<std::uint64_t>();
    document.change_id = ReadText();
    document.zones = ReadList<Zone>([&] {
      Zone zone{ReadText(), ReadText(), ReadNumber<ZoneState>()};
      Require(zone.state <= ZoneState::kOut, "unknown zone state");
      return zone;
    });
    std::size_t next = 0;
    document.services = ReadList<Service>([&] {
      std::size_t start = buffer_.position();
      Service service = ReadOrReuseService(previous, next);
      if (service_spans != nullptr) service_spans->push_back({start, buffer_.position() - start});
      return service;
    });
    document.fronts = ReadList<SearchFront>([&] { return ReadFront(); });
    Require(buffer_.rest().empty(), "bytes after the end");
    return document;
  }

 private:
  // The first byte is the byte order; the writer always writes 1 (little endian).
  static std::string_view WithCheckedByteOrder(std::string_view bytes) {
    Require(!bytes.empty() && bytes.front() == 1, "unknown byte order");
    return bytes;
  }

  // No encoded service is a prefix of another one, so bytes that begin with those of a previous
  // service encode that service. `next` is the index of the first service in `previous` that has
  // not been reached; services are sorted by name.
  Service ReadOrReuseService(const DecodedConfig& previous, std::size_t& next) {
    if (previous.document == nullptr) return ReadService();
    const std::vector<Service>& services = previous.document->services;
    if (next < services.size()) {
      auto [offset, size] = (*previous.service_spans)[next];
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
    Service service{ReadText(), ReadText(), ReadMilliseconds(), {}};
    service.backends = ReadList<BackendServer>([&] { return ReadBackend(); });
    return service;
  }

  BackendServer ReadBackend() {
    BackendServer backend;
    backend.name = ReadText();
    backend.zone = ReadText();
    backend.endpoint.address = ReadText();
    backend.endpoint.port = ReadNumber<std::uint16_t>();
    backend.slots = ReadNumber<std::int32_t>();
    backend.cold_slots = ReadNumber<std::int32_t>();
    backend.connections = ReadNumber<std::int32_t>();
    backend.intent = ReadNumber<BackendIntent>();
    CheckBackend(backend);
    return backend;
  }

  SearchFront ReadFront() {
    SearchFront front;
    front.name = ReadText();
    front.service = ReadText();
    front.default_deadline = ReadMilliseconds();
    front.objective.latency = ReadMilliseconds();
    front.objective.latency_ratio = ReadNumber<double>();
    front.objective.coverage_ratio = ReadNumber<double>();
    CheckFront(front);
    return front;
  }

  template <typename T>
  T ReadNumber() {
    T value{};
    archive_(value);
    return value;
  }

  std::chrono::milliseconds ReadMilliseconds() {
    return std::chrono::milliseconds(ReadNumber<std::int64_t>());
  }

  std::string ReadText() {
    auto size = ReadNumber<std::uint16_t>();
    Require(size <= kMaxConfigTextBytes, "text too long");
    std::string text(size, '\0');
    archive_(cereal::binary_data(text.data(), text.size()));
    return text;
  }

  // Grows with the entries read: allocating by the count would let invalid input exhaust memory.
  template <typename T, typename Read>
  std::vector<T> ReadList(Read read) {
    auto count = ReadNumber<std::uint32_t>();
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
