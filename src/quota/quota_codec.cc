#include "damaskroute/quota/quota_codec.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <type_traits>
#include <utility>

namespace damaskroute {
namespace {

// First bytes of each datagram: the protocol with its version, then the type of the message, which
// is the index in `QuotaMessage`.
constexpr std::uint8_t kVersion = 0xd1;

constexpr std::size_t kMaxNameBytes = 255;

// Integers are little-endian.
class Writer {
 public:
  template <std::unsigned_integral T>
  void operator()(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
  }
  void operator()(bool value) { (*this)(static_cast<std::uint8_t>(value)); }
  void operator()(const std::string& name) {
    std::size_t size = std::min(name.size(), kMaxNameBytes);
    (*this)(static_cast<std::uint8_t>(size));
    bytes_.append(name, 0, size);
  }

  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// After the first missing or invalid field, all further ones are zero.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  void operator()(T& value) {
    value = 0;
    std::string_view taken = Take(sizeof(T));
    for (std::size_t i = 0; i < taken.size(); ++i) {
      value = static_cast<T>(
          value | static_cast<T>(static_cast<T>(static_cast<std::uint8_t>(taken[i])) << (8 * i)));
    }
  }
  void operator()(bool& value) {
    std::uint8_t byte = 0;
    (*this)(byte);
    if (byte > 1) ok_ = false;
    value = byte == 1;
  }
  void operator()(std::string& name) {
    std::uint8_t size = 0;
    (*this)(size);
    name = std::string(Take(size));
  }

  bool AtEnd() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view Take(std::size_t size) {
    if (!ok_ || bytes_.size() < size) {
      ok_ = false;
      return {};
    }
    std::string_view taken = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return taken;
  }

  std::string_view bytes_;
  bool ok_ = true;
};

template <typename Fields, typename Message>
void Visit(Fields& fields, Message& message) {
  using T = std::remove_const_t<Message>;
  if constexpr (std::is_same_v<T, QuotaLease>) {
    fields(message.node);
    fields(message.incarnation);
    fields(message.slot);
    fields(message.nodes);
    fields(message.period_ms);
    fields(message.idle_ms);
    fields(message.coordinator);
    fields(message.stamp);
  } else if constexpr (std::is_same_v<T, QuotaLeaseReply>) {
    fields(message.coordinator_node);
    fields(message.coordinator);
    fields(message.incarnation);
    fields(message.slot);
    fields(message.accepted);
    fields(message.leaving);
    fields(message.stamp);
  } else if constexpr (std::is_same_v<T, QuotaAsk>) {
    fields(message.node);
    fields(message.incarnation);
    fields(message.sequence);
    fields(message.tenant);
    fields(message.needed);
    fields(message.extra);
  } else {
    fields(message.coordinator_node);
    fields(message.incarnation);
    fields(message.sequence);
    fields(message.responsible);
    fields(message.granted);
    fields(message.retry_ms);
  }
}

template <typename Message>
absl::StatusOr<QuotaMessage> Read(Reader& reader) {
  Message message;
  Visit(reader, message);
  if (!reader.AtEnd()) return absl::InvalidArgumentError("the quota message is not complete");
  return message;
}

}  // namespace

std::string EncodeQuotaMessage(const QuotaMessage& message) {
  Writer writer;
  writer(kVersion);
  writer(static_cast<std::uint8_t>(message.index()));
  std::visit([&](const auto& fields) { Visit(writer, fields); }, message);
  return writer.Take();
}

absl::StatusOr<QuotaMessage> DecodeQuotaMessage(std::string_view bytes) {
  Reader reader(bytes);
  std::uint8_t version = 0;
  std::uint8_t type = 0;
  reader(version);
  reader(type);
  if (version != kVersion) return absl::InvalidArgumentError("not a quota message");
  switch (type) {
    case 0:
      return Read<QuotaLease>(reader);
    case 1:
      return Read<QuotaLeaseReply>(reader);
    case 2:
      return Read<QuotaAsk>(reader);
    case 3:
      return Read<QuotaGrant>(reader);
    default:
      return absl::InvalidArgumentError("unknown type of quota message");
  }
}

}  // namespace damaskroute
