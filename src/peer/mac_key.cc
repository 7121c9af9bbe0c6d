#include "damaskroute/peer/mac_key.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace damaskroute {
namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// The checked calls fail only if memory is exhausted or OpenSSL lacks SHA-256. The process must not
// continue without authentication.
void Require(bool succeeded) {
  if (!succeeded) std::abort();
}

}  // namespace

MacKey::MacKey(std::string_view secret) {
  static EVP_MAC* const hmac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  Require(hmac != nullptr);
  context_.reset(EVP_MAC_CTX_new(hmac));
  char digest[] = "SHA256";
  OSSL_PARAM params[] = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
                         OSSL_PARAM_construct_end()};
  Require(context_ && EVP_MAC_init(context_.get(), Bytes(secret), secret.size(), params) == 1);
}

MacTag MacKey::Compute(std::initializer_list<std::string_view> parts) {
  MacTag tag;
  std::size_t written = 0;
  Require(EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1);
  for (std::string_view part : parts) {
    Require(EVP_MAC_update(context_.get(), Bytes(part), part.size()) == 1);
  }
  Require(EVP_MAC_final(context_.get(), reinterpret_cast<unsigned char*>(tag.data()), &written,
                        tag.size()) == 1 &&
          written == tag.size());
  return tag;
}

bool MacKey::Verify(std::initializer_list<std::string_view> parts, std::string_view tag) {
  if (tag.size() != kMacSize) return false;
  MacTag expected = Compute(parts);
  return CRYPTO_memcmp(expected.data(), tag.data(), kMacSize) == 0;
}

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  Require(RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size)) == 1);
  return bytes;
}

}  // namespace damaskroute
