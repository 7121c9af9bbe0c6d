#ifndef DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_
#define DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Backend servers that said in an answer that they are leaving. Remembered beyond their entries,
/// which lapse and come back; the oldest are forgotten first.
class LeavingServers {
 public:
  /// Number of servers that are remembered; a release that replaces every server of a large
  /// service.
  static constexpr std::size_t kMost = 4096;

  void Add(const BackendName& id, std::int64_t incarnation);

  /// Whether this incarnation of the server is leaving.
  bool Contains(const BackendName& id, std::int64_t incarnation) const;

  std::size_t size() const { return incarnations_.size(); }

 private:
  std::map<BackendName, std::int64_t> incarnations_;
  std::deque<BackendName> order_;  // By when they were added.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_LEAVING_SERVERS_H_
