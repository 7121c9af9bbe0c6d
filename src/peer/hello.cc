#include "damaskroute/peer/hello.h"

#include <cereal/types/string.hpp>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"
#include "damaskroute/peer/mac_key.h"

namespace damaskroute {
namespace {

// Domain separation from the other uses of the key.
constexpr std::string_view kHelloLabel = "damaskroute-hello-1";

}  // namespace

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, Hello& hello) {
  archive(hello.key_id, hello.nonce, hello.sender.node, hello.sender.incarnation,
          hello.sender.endpoint.address, hello.sender.endpoint.port);
}

std::string EncodeHello(const Hello& hello, const PeerKey& key, std::string_view peer_nonce) {
  std::string bytes;
  internal::AppendBinary(bytes, [&](auto& archive) { archive(hello); });
  MacTag tag = MacKey(key.secret).Compute({kHelloLabel, peer_nonce, bytes});
  return bytes.append(tag.data(), tag.size());
}

absl::StatusOr<Hello> DecodeHello(std::string_view bytes, const PeerKeys& keys,
                                  std::string_view peer_nonce) {
  if (bytes.size() < kMacSize || bytes.size() > kMaxHelloSize) {
    return absl::InvalidArgumentError("hello has an invalid size");
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
    return absl::InvalidArgumentError("hello is truncated");
  }
  const PeerKey* key = keys.Find(hello.key_id);
  if (key == nullptr) return absl::PermissionDeniedError("hello names an unknown key");
  if (!MacKey(key->secret).Verify({kHelloLabel, peer_nonce, fields}, bytes.substr(fields.size()))) {
    return absl::PermissionDeniedError("hello has an invalid tag");
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
