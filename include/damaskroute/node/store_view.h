#ifndef DAMASKROUTE_NODE_STORE_VIEW_H_
#define DAMASKROUTE_NODE_STORE_VIEW_H_

#include <functional>
#include <optional>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Functions by which a `ForwardServer` queries the connection to the store. All are called on the
/// event loop.
struct StoreView {
  /// Checks whether the store is reachable; `done` is called later, on the event loop.
  std::function<void(std::function<void(bool reached)> done)> probe;
  /// Time since the node's data was last confirmed by the store.
  std::function<Duration()> age;
  /// Age of the configuration, nullopt if it is unknown; see `ConfigurationAge`.
  std::function<std::optional<Duration>()> configuration_age;
  /// Describes what the node follows: "the store" or the address of another node.
  std::function<std::string()> followed;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_VIEW_H_
