#include "damaskroute/config/config_codec.h"

#include <openssl/sha.h>

#include <array>
#include <cstdint>
#include <sstream>

#include "cereal/archives/portable_binary.hpp"
#include "config_bytes.h"
#include "config_bytes_reader.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using internal::CheckBackend;
using internal::CheckFront;
using internal::kConfigFormat;
using internal::kMaxConfigEntries;
using internal::kMaxConfigTextBytes;
using internal::Require;

class Writer {
 public:
  void Document(const ConfigDocument& document) {
    archive_(kConfigFormat, document.revision);
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
    Require(text.size() <= kMaxConfigTextBytes, "text too long");
    archive_(static_cast<std::uint16_t>(text.size()),
             cereal::binary_data(text.data(), text.size()));
  }

  template <typename Entries, typename Write>
  void List(const Entries& entries, Write write) {
    Require(entries.size() <= kMaxConfigEntries, "list too long");
    archive_(static_cast<std::uint32_t>(entries.size()));
    for (const auto& entry : entries) write(entry);
  }

  std::ostringstream stream_;
  // Fixed byte order, so that the bytes and their hash do not depend on the machine.
  cereal::PortableBinaryOutputArchive archive_{
      stream_, cereal::PortableBinaryOutputArchive::Options::LittleEndian()};
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
    return internal::ConfigReader(bytes).Document();
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
