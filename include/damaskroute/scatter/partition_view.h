#ifndef DAMASKROUTE_SCATTER_PARTITION_VIEW_H_
#define DAMASKROUTE_SCATTER_PARTITION_VIEW_H_

#include <map>
#include <memory>
#include <utility>

#include "damaskroute/config/config_document.h"
#include "damaskroute/peer/backend_report.h"
#include "damaskroute/scatter/load_table.h"
#include "damaskroute/scatter/service_view.h"

namespace damaskroute {

/// The latest report of each holder about each backend server. Cheap to copy: copies share the
/// reports.
class PartitionView {
 public:
  /// Stores a report unless its sequence is not greater than that of the stored report of the same
  /// holder and backend server. Returns whether anything but the sequence changed, that is, whether
  /// the result of `MakeServiceView` changes.
  bool Apply(const BackendReport& report);

  /// Removes all reports of a holder that left, failed or restarted. Returns whether there were
  /// any.
  bool RemoveHolder(const NodeName& holder);

  /// Returns the replicas and partition maps of `service`. Excludes holders without a share or with
  /// a draining or unreachable backend server, and backend servers that `config` excludes from new
  /// work. The counters of the replicas come from `loads`.
  ServiceView MakeServiceView(const ServiceName& service, const ConfigDocument& config,
                              LoadTable& loads) const;

 private:
  using Key = std::pair<BackendName, NodeName>;
  std::map<ServiceName, std::map<Key, std::shared_ptr<const BackendReport>>> reports_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_PARTITION_VIEW_H_
