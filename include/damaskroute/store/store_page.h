#ifndef DAMASKROUTE_STORE_STORE_PAGE_H_
#define DAMASKROUTE_STORE_STORE_PAGE_H_

#include <cstdint>
#include <vector>

#include "damaskroute/store/store_item.h"

namespace damaskroute {

/// Response to a read or a watch of a store: items or changes in order, and the store revision up
/// to which they are complete.
struct StorePage {
  std::vector<StoreItem> items;
  bool has_more = false;      ///< For a read: further pages follow the last key.
  std::uint64_t as_of = 0;    ///< Revision of the store.
  std::uint64_t era = 0;      ///< Era of the store, in which its revisions are ordered.
  bool after_outage = false;  ///< Removed items may merely have expired during an outage.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_PAGE_H_
