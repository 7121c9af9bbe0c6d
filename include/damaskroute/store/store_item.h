#ifndef DAMASKROUTE_STORE_STORE_ITEM_H_
#define DAMASKROUTE_STORE_STORE_ITEM_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// A key of a watched store as it was written, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of the store, at which the key was written or removed.
  bool removed = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_ITEM_H_
