#ifndef DAMASKROUTE_STORE_STORED_VALUE_H_
#define DAMASKROUTE_STORE_STORED_VALUE_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Value of a key in the store. The version grows with each write of the key; version 0 means that
/// the key does not exist.
struct StoredValue {
  std::string value;
  std::uint64_t version = 0;

  friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORED_VALUE_H_
