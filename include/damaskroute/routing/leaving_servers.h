#ifndef DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_
#define DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Backend servers that reported in a response that they are leaving. Retained independently of
/// their entries, which may expire and return; the oldest are evicted first.
class LeavingServers {
 public:
  /// Maximum number of servers; covers a release that replaces every server of a large service.
  static constexpr std::size_t kMaxServers = 4096;

  void Add(const BackendName& id, std::int64_t incarnation);

  /// Whether this incarnation of the server is leaving.
  bool Contains(const BackendName& id, std::int64_t incarnation) const;

  std::size_t size() const { return incarnations_.size(); }

 private:
  std::map<BackendName, std::int64_t> incarnations_;
  std::deque<BackendName> order_;  // In the order of insertion.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_
