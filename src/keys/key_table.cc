#include "damaskroute/keys/key_table.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cstring>

namespace damaskroute {

KeyTable::KeyTable(const RoutingDocument& document) : configured_(document.has_tenants) {
  tenants_.reserve(document.tenants.size());
  for (const Tenant& tenant : document.tenants) {
    auto index = static_cast<std::uint32_t>(tenants_.size());
    for (const std::string& key : tenant.api_keys) entries_.push_back({DigestOf(key), index});
    tenants_.push_back({tenant.name, {}, tenant.priority, tenant.rate_per_s, tenant.burst});
  }
  std::sort(entries_.begin(), entries_.end(),
            [](const Entry& a, const Entry& b) { return BucketOf(a.digest) < BucketOf(b.digest); });
}

KeyTable::Digest KeyTable::DigestOf(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> whole{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), whole.data());
  Digest digest{};
  std::copy_n(whole.begin(), digest.size(), digest.begin());
  return digest;
}

std::uint32_t KeyTable::BucketOf(const Digest& digest) {
  std::uint32_t bucket = 0;
  std::memcpy(&bucket, digest.data(), sizeof(bucket));
  return bucket;
}

// The search by bucket takes a time that depends on 32 bits of the hash, which a caller cannot
// choose. All entries of the bucket are compared, each in constant time.
const Tenant* KeyTable::Find(std::string_view key) const {
  Digest digest = DigestOf(key);
  std::uint32_t bucket = BucketOf(digest);
  auto entry = std::lower_bound(
      entries_.begin(), entries_.end(), bucket,
      [](const Entry& e, std::uint32_t wanted) { return BucketOf(e.digest) < wanted; });
  const Tenant* found = nullptr;
  for (; entry != entries_.end() && BucketOf(entry->digest) == bucket; ++entry) {
    bool equal = CRYPTO_memcmp(entry->digest.data(), digest.data(), digest.size()) == 0;
    if (equal) found = &tenants_[entry->tenant];
  }
  return found;
}

}  // namespace damaskroute
