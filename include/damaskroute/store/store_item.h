#ifndef DAMASKROUTE_STORE_STORE_ITEM_H_
#define DAMASKROUTE_STORE_STORE_ITEM_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Write or removal of a key in a watched store.
struct StoreItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Store revision of the write or removal.
  bool removed = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_ITEM_H_
