#ifndef DAMASKROUTE_NODE_STORE_VIEW_H_
#define DAMASKROUTE_NODE_STORE_VIEW_H_

#include <functional>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// How a `ForwardFront` asks about the store. All functions are called on the loop.
struct StoreView {
  /// Finds out whether the store can be reached; `done` is called later, on the loop.
  std::function<void(std::function<void(bool reached)> done)> probe;
  /// Time since the store confirmed what the node knows.
  std::function<Duration()> age;
  /// What the node follows: the store, or the address of another node.
  std::function<std::string()> followed;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_VIEW_H_
