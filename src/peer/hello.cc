#include "damaskroute/peer/hello.h"

#include <cereal/types/string.hpp>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"
#include "damaskroute/peer/mac_key.h"

namespace damaskroute {
namespace {

constexpr std::string_view kLabel = "damaskroute-hello-1";

}  // namespace

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, Hello& hello) {
  archive(hello.key_id, hello.nonce, hello.sender.node, hello.sender.incarnation,
          hello.sender.endpoint.address, hello.sender.endpoint.port);
}

std::string EncodeHello(const Hello& hello, const PeerKey& key, std::string_view peer_nonce) {
  std::string bytes;
  internal::AppendBinary(bytes, [&](auto& archive) { archive(hello); });
  MacTag tag = MacKey(key.secret).Compute({kLabel, peer_nonce, bytes});
  return bytes.append(tag.data(), tag.size());
}

absl::StatusOr<Hello> DecodeHello(std::string_view bytes, const PeerKeys& keys,
                                  std::string_view peer_nonce) {
  if (bytes.size() < kMacSize || bytes.size() > kMaxHelloSize) {
    return absl::InvalidArgumentError("hello has a wrong size");
  }
  std::string_view fields = bytes.substr(0, bytes.size() - kMacSize);
  Hello hello;
  try {
    internal::BoundedInputArchive archive(fields);
    archive(hello);
    if (archive.bytes_left() != 0 || hello.nonce.size() != kNonceSize) {
      return absl::InvalidArgumentError("hello is malformed");
    }
  } catch (const cereal::Exception&) {
    return absl::InvalidArgumentError("hello is cut short");
  }
  const PeerKey* key = keys.Find(hello.key_id);
  if (key == nullptr) return absl::PermissionDeniedError("hello names an unknown key");
  if (!MacKey(key->secret).Verify({kLabel, peer_nonce, fields}, bytes.substr(fields.size()))) {
    return absl::PermissionDeniedError("hello has a wrong tag");
  }
  return hello;
}

std::string SessionSecret(const PeerKey& key, std::string_view connector_nonce,
                          std::string_view acceptor_nonce) {
  MacTag tag =
      MacKey(key.secret).Compute({"damaskroute-session-1", connector_nonce, acceptor_nonce});
  return std::string(tag.data(), tag.size());
}

}  // namespace damaskroute
