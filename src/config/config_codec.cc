#include "damaskroute/config/config_codec.h"

#include <openssl/sha.h>

#include <array>
#include <cstdint>
#include <sstream>

#include "cereal/archives/portable_binary.hpp"
#include "config_bytes_reader.h"
#include "config_format.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using internal::CheckBackend;
using internal::CheckFront;
using internal::kConfigFormat;
using internal::kMaxConfigEntries;
using internal::kMaxConfigTextBytes;
using internal::Require;

// Encodes one configuration. Throws cereal::Exception if a value is not allowed.
class ConfigWriter {
 public:
  void WriteDocument(const ConfigDocument& document) {
    archive_(kConfigFormat, document.revision);
    WriteText(document.change_id);
    WriteList(document.zones, [&](const Zone& zone) {
      WriteText(zone.name);
      WriteText(zone.region);
      archive_(zone.state);
    });
    WriteList(document.services, [&](const Service& service) {
      WriteText(service.name);
      WriteText(service.customer);
      archive_(std::int64_t{service.warm_up.count()});
      WriteList(service.backends, [&](const BackendServer& backend) { WriteBackend(backend); });
    });
    WriteList(document.fronts, [&](const SearchFront& front) { WriteFront(front); });
  }

  std::string Bytes() const { return stream_.str(); }

 private:
  void WriteBackend(const BackendServer& backend) {
    CheckBackend(backend);
    WriteText(backend.name);
    WriteText(backend.zone);
    WriteText(backend.endpoint.address);
    archive_(backend.endpoint.port, std::int32_t{backend.slots}, std::int32_t{backend.cold_slots},
             std::int32_t{backend.connections}, backend.intent);
  }

  void WriteFront(const SearchFront& front) {
    CheckFront(front);
    WriteText(front.name);
    WriteText(front.service);
    archive_(std::int64_t{front.default_deadline.count()},
             std::int64_t{front.objective.latency.count()}, front.objective.latency_ratio,
             front.objective.coverage_ratio);
  }

  void WriteText(const std::string& text) {
    Require(text.size() <= kMaxConfigTextBytes, "text too long");
    archive_(static_cast<std::uint16_t>(text.size()),
             cereal::binary_data(text.data(), text.size()));
  }

  template <typename Entries, typename WriteEntry>
  void WriteList(const Entries& entries, WriteEntry write_entry) {
    Require(entries.size() <= kMaxConfigEntries, "list too long");
    archive_(static_cast<std::uint32_t>(entries.size()));
    for (const auto& entry : entries) write_entry(entry);
  }

  std::ostringstream stream_;
  // Fixed byte order, so that the bytes and their hash are the same on all machines.
  cereal::PortableBinaryOutputArchive archive_{
      stream_, cereal::PortableBinaryOutputArchive::Options::LittleEndian()};
};

}  // namespace

absl::StatusOr<std::string> EncodeConfig(const ConfigDocument& document) {
  try {
    ConfigWriter writer;
    writer.WriteDocument(document);
    return writer.Bytes();
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(
        fmt::format("the configuration cannot be encoded: {}", error.what()));
  }
}

absl::StatusOr<ConfigDocument> DecodeConfig(std::string_view bytes) {
  try {
    return internal::ConfigBytesReader(bytes).ReadDocument();
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
