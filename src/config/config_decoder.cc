#include "damaskroute/config/config_decoder.h"

#include "config_bytes_reader.h"
#include "fmt/format.h"

namespace damaskroute {

absl::StatusOr<ConfigDocument> ConfigDecoder::Decode(std::shared_ptr<const std::string> bytes) {
  internal::ReadConfig previous;
  if (bytes_) previous = {*bytes_, &document_, &services_};
  try {
    std::vector<internal::ByteSpan> services;
    ConfigDocument document = internal::ConfigReader(*bytes).Document(previous, &services);
    bytes_ = std::move(bytes);
    document_ = document;
    services_ = std::move(services);
    return document;
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(
        fmt::format("expected an encoded configuration: {}", error.what()));
  }
}

}  // namespace damaskroute
