#ifndef DAMASKROUTE_STORE_STORE_PAGE_H_
#define DAMASKROUTE_STORE_STORE_PAGE_H_

#include <cstdint>
#include <vector>

#include "damaskroute/store/store_item.h"

namespace damaskroute {

/// Answer to a read or a watch of a store: items or changes in order, and the revision of the store
/// that they lead up to.
struct StorePage {
  std::vector<StoreItem> items;
  bool has_more = false;      ///< Of a read: further pages follow after the last key.
  std::uint64_t as_of = 0;    ///< Revision of the store.
  bool after_outage = false;  ///< What is removed may only have lapsed while the store was away.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_PAGE_H_
