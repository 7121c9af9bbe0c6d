#ifndef DAMASKROUTE_PEER_MAC_KEY_H_
#define DAMASKROUTE_PEER_MAC_KEY_H_

#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace damaskroute {

/// Size of an HMAC-SHA-256 tag in bytes.
inline constexpr std::size_t kMacSize = 32;

/// HMAC-SHA-256 tag.
using MacTag = std::array<char, kMacSize>;

/// HMAC-SHA-256 key with its precomputed state. Not thread-safe.
class MacKey {
 public:
  explicit MacKey(std::string_view secret);

  /// Tag over the concatenated parts.
  MacTag Compute(std::initializer_list<std::string_view> parts);

  /// Whether `tag` is the tag over the parts, compared in constant time.
  bool Verify(std::initializer_list<std::string_view> parts, std::string_view tag);

 private:
  struct ContextDeleter {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
  };
  std::unique_ptr<EVP_MAC_CTX, ContextDeleter> context_;
};

/// Returns `size` bytes from the cryptographic random number generator.
std::string RandomBytes(std::size_t size);

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MAC_KEY_H_
