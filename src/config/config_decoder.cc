#include "damaskroute/config/config_decoder.h"

#include "config_bytes_reader.h"
#include "fmt/format.h"

namespace damaskroute {

absl::StatusOr<ConfigDocument> ConfigDecoder::Decode(std::shared_ptr<const std::string> bytes) {
  internal::DecodedConfig previous;
  if (bytes_) previous = {*bytes_, &document_, &service_spans_};
  try {
    std::vector<internal::ByteSpan> service_spans;
    ConfigDocument document =
        internal::ConfigBytesReader(*bytes).ReadDocument(previous, &service_spans);
    bytes_ = std::move(bytes);
    document_ = document;
    service_spans_ = std::move(service_spans);
    return document;
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(
        fmt::format("expected an encoded configuration: {}", error.what()));
  }
}

}  // namespace damaskroute
