#include "damaskroute/config/config_codec.h"

#include <openssl/sha.h>

#include <array>
#include <cstdint>
#include <sstream>

#include "cereal/archives/portable_binary.hpp"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::uint32_t kMaxEntries = 1'000'000;

void Require(bool condition, const char* what) {
  if (!condition) throw cereal::Exception(what);
}

void CheckBackend(const BackendServer& backend) {
  Require(backend.cold_slots >= 1 && backend.cold_slots <= backend.slots &&
              backend.slots <= backend.connections,
          "limits of a backend server out of range");
  Require(backend.intent <= BackendIntent::kLeaving, "unknown backend intent");
}

void CheckFront(const SearchFront& front) {
  const Objective& objective = front.objective;
  Require(front.default_deadline.count() >= 0 && objective.latency.count() >= 0,
          "negative time span");
  Require(objective.latency_ratio >= 0 && objective.latency_ratio <= 1 &&
              objective.coverage_ratio >= 0 && objective.coverage_ratio <= 1,
          "ratio out of range");
}

class Writer {
 public:
  void Document(const ConfigDocument& document) {
    archive_(kFormat, document.revision);
    Text(document.change_id);
    List(document.zones, [&](const Zone& zone) {
      Text(zone.name);
      Text(zone.region);
      archive_(zone.state);
    });
    List(document.services, [&](const Service& service) {
      Text(service.name);
      Text(service.customer);
      archive_(std::int64_t{service.warm_up.count()});
      List(service.backends, [&](const BackendServer& backend) { Backend(backend); });
    });
    List(document.fronts, [&](const SearchFront& front) { Front(front); });
  }

  std::string Bytes() const { return stream_.str(); }

 private:
  void Backend(const BackendServer& backend) {
    CheckBackend(backend);
    Text(backend.name);
    Text(backend.zone);
    Text(backend.endpoint.address);
    archive_(backend.endpoint.port, std::int32_t{backend.slots}, std::int32_t{backend.cold_slots},
             std::int32_t{backend.connections}, backend.intent);
  }

  void Front(const SearchFront& front) {
    CheckFront(front);
    Text(front.name);
    Text(front.service);
    archive_(std::int64_t{front.default_deadline.count()},
             std::int64_t{front.objective.latency.count()}, front.objective.latency_ratio,
             front.objective.coverage_ratio);
  }

  void Text(const std::string& text) {
    Require(text.size() <= kMaxTextBytes, "text too long");
    archive_(static_cast<std::uint16_t>(text.size()),
             cereal::binary_data(text.data(), text.size()));
  }

  template <typename T, typename Write>
  void List(const std::vector<T>& entries, Write write) {
    Require(entries.size() <= kMaxEntries, "list too long");
    archive_(static_cast<std::uint32_t>(entries.size()));
    for (const T& entry : entries) write(entry);
  }

  std::ostringstream stream_;
  // Fixed byte order, so that the bytes and their hash do not depend on the machine.
  cereal::PortableBinaryOutputArchive archive_{
      stream_, cereal::PortableBinaryOutputArchive::Options::LittleEndian()};
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : stream_(std::string(bytes)) {}

  ConfigDocument Document() {
    ConfigDocument document;
    Require(Number<std::uint8_t>() == kFormat, "unknown format");
    document.revision = Number<std::uint64_t>();
    document.change_id = Text();
    document.zones = List<Zone>([&] {
      Zone zone{Text(), Text(), Number<ZoneState>()};
      Require(zone.state <= ZoneState::kOut, "unknown zone state");
      return zone;
    });
    document.services = List<Service>([&] {
      Service service{Text(), Text(), Milliseconds(), {}};
      service.backends = List<BackendServer>([&] { return Backend(); });
      return service;
    });
    document.fronts = List<SearchFront>([&] { return Front(); });
    Require(stream_.peek() == std::istringstream::traits_type::eof(), "bytes after the end");
    return document;
  }

 private:
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
    Require(size <= kMaxTextBytes, "text too long");
    std::string text(size, '\0');
    archive_(cereal::binary_data(text.data(), text.size()));
    return text;
  }

  // Grows with the entries read, so a false count allocates nothing.
  template <typename T, typename Read>
  std::vector<T> List(Read read) {
    auto count = Number<std::uint32_t>();
    Require(count <= kMaxEntries, "list too long");
    std::vector<T> entries;
    for (std::uint32_t i = 0; i < count; ++i) entries.push_back(read());
    return entries;
  }

  std::istringstream stream_;
  cereal::PortableBinaryInputArchive archive_{stream_};
};

}  // namespace

absl::StatusOr<std::string> EncodeConfig(const ConfigDocument& document) {
  try {
    Writer writer;
    writer.Document(document);
    return writer.Bytes();
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(
        fmt::format("the configuration cannot be encoded: {}", error.what()));
  }
}

absl::StatusOr<ConfigDocument> DecodeConfig(std::string_view bytes) {
  try {
    // The first byte states the byte order; EncodeConfig always writes 1 (little endian).
    Require(!bytes.empty() && bytes.front() == 1, "unknown byte order");
    return Reader(bytes).Document();
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(
        fmt::format("expected an encoded configuration: {}", error.what()));
  }
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  std::string hex;
  for (unsigned char byte : digest) hex += fmt::format("{:02x}", byte);
  return hex;
}

}  // namespace damaskroute
