#ifndef DAMASKROUTE_FORWARD_REPORTING_SERVERS_H_
#define DAMASKROUTE_FORWARD_REPORTING_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

#include "damaskroute/core/ids.h"
#include "damaskroute/forward/backend.h"

namespace damaskroute {

/// Backend servers that reported in a response that they are leaving, want a backoff or limit their
/// requests. Retained independently of their entries, which may expire and return; the oldest are
/// evicted first.
class ReportingServers {
 public:
  /// Maximum number of servers; covers a release that replaces every server of a large service.
  static constexpr std::size_t kMaxServers = 4096;

  void Add(const std::shared_ptr<Backend>& backend);

  /// Returns null if this incarnation of the server has reported nothing.
  std::shared_ptr<Backend> Find(const BackendName& id, std::int64_t incarnation) const;

  std::size_t size() const { return servers_.size(); }

 private:
  std::map<BackendName, std::shared_ptr<Backend>> servers_;
  std::deque<BackendName> order_;  // In the order of insertion.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_REPORTING_SERVERS_H_
