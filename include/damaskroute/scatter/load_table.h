#ifndef DAMASKROUTE_SCATTER_LOAD_TABLE_H_
#define DAMASKROUTE_SCATTER_LOAD_TABLE_H_

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "damaskroute/core/ids.h"
#include "damaskroute/scatter/call_load.h"

namespace damaskroute {

/// Owns the call counters of a node. A `ServiceView` refers to them, so counters outlive the view
/// and the request path needs no lookup. Thread-safe.
class LoadTable {
 public:
  /// Counters of all calls to `backend`; created on first use.
  std::shared_ptr<CallLoad> OfBackend(const BackendName& backend);

  /// Counters of the calls to `backend` through `holder`; created on first use.
  std::shared_ptr<CallLoad> OfHolder(const BackendName& backend, const NodeName& holder);

  /// Frees counters that no view refers to and that have no outstanding calls.
  void Prune();

 private:
  std::shared_ptr<CallLoad> Get(const std::string& key);

  std::mutex mutex_;
  std::unordered_map<std::string, std::shared_ptr<CallLoad>> loads_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_LOAD_TABLE_H_
