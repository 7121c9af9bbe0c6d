#include "damaskroute/intent/bearer_token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace damaskroute {

bool MatchesBearerToken(const std::string& authorization, const std::string& token) {
  std::string expected = "Bearer " + token;
  // Digests have equal lengths, so the comparison does not reveal the length of the token.
  std::array<unsigned char, SHA256_DIGEST_LENGTH> given_digest{};
  std::array<unsigned char, SHA256_DIGEST_LENGTH> expected_digest{};
  SHA256(reinterpret_cast<const unsigned char*>(authorization.data()), authorization.size(),
         given_digest.data());
  SHA256(reinterpret_cast<const unsigned char*>(expected.data()), expected.size(),
         expected_digest.data());
  return CRYPTO_memcmp(given_digest.data(), expected_digest.data(), given_digest.size()) == 0;
}

}  // namespace damaskroute
