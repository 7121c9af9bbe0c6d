#ifndef DAMASKROUTE_KEYS_KEY_TABLE_H_
#define DAMASKROUTE_KEYS_KEY_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "damaskroute/routing/routing_document.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Immutable index of the tenants of one configuration by API key. Keys are kept as 128-bit hashes
/// (SHA-256, truncated) and compared in constant time.
class KeyTable {
 public:
  /// `document` must satisfy `CheckTenants`.
  explicit KeyTable(const RoutingDocument& document);

  /// Whether the configuration contains tenants, so that requests need keys.
  bool is_configured() const { return configured_; }

  /// The tenant that holds `key`, without its keys; nullptr if there is none. Valid as long as the
  /// table.
  const Tenant* Find(std::string_view key) const;

  /// All tenants, without their keys.
  const std::vector<Tenant>& tenants() const { return tenants_; }

 private:
  static constexpr std::size_t kDigestSize = 16;
  using Digest = std::array<unsigned char, kDigestSize>;
  struct Entry {
    Digest digest{};
    std::uint32_t tenant = 0;  // Index in `tenants_`.
  };

  static Digest DigestOf(std::string_view key);
  static std::uint32_t BucketOf(const Digest& digest);

  bool configured_ = false;
  std::vector<Tenant> tenants_;
  std::vector<Entry> entries_;  // Sorted by bucket.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_KEYS_KEY_TABLE_H_
