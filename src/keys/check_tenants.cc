#include "damaskroute/keys/check_tenants.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "fmt/format.h"

namespace damaskroute {
namespace {

bool IsControl(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  auto byte = static_cast<unsigned char>(c);
  return byte < kFirstPrintable || byte == kDelete;
}

bool HasControl(std::string_view text) { return std::any_of(text.begin(), text.end(), IsControl); }

bool IsHeaderValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' && !HasControl(text);
}

bool IsRate(double rate) { return std::isfinite(rate) && rate >= 0; }

// The position of the tenant in the list names it, as its name may not be printable.
absl::Status Invalid(std::size_t index, const char* fault) {
  return absl::InvalidArgumentError(fmt::format("tenant {} {}", index, fault));
}

}  // namespace

absl::Status CheckTenants(const std::vector<Tenant>& tenants) {
  std::unordered_set<std::string_view> names;
  std::unordered_map<std::string_view, std::size_t> holders;  // By key.
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const Tenant& tenant = tenants[i];
    if (!IsHeaderValue(tenant.name)) return Invalid(i, "has a name that no header can carry");
    if (!names.insert(tenant.name).second) return Invalid(i, "has the name of another tenant");
    if (!IsRate(tenant.rate_per_s)) return Invalid(i, "has an invalid ratePerS");
    if (!IsRate(tenant.burst)) return Invalid(i, "has an invalid burst");
    for (const std::string& key : tenant.api_keys) {
      if (key.empty()) return Invalid(i, "has an empty key");
      if (HasControl(key) || key.find(' ') != std::string::npos) {
        return Invalid(i, "has a key with control characters or spaces");
      }
      if (holders.try_emplace(key, i).first->second != i) {
        return Invalid(i, "has a key of another tenant");
      }
    }
  }
  return absl::OkStatus();
}

}  // namespace damaskroute
