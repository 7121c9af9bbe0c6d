#include "damaskroute/forward/reporting_servers.h"

namespace damaskroute {

void ReportingServers::Add(const std::shared_ptr<Backend>& backend) {
  auto [place, inserted] = servers_.insert_or_assign(backend->entry.id, backend);
  if (!inserted) return;
  order_.push_back(backend->entry.id);
  if (order_.size() <= kMaxServers) return;
  servers_.erase(order_.front());
  order_.pop_front();
}

std::shared_ptr<Backend> ReportingServers::Find(const BackendName& id,
                                                std::int64_t incarnation) const {
  auto found = servers_.find(id);
  bool same = found != servers_.end() && found->second->entry.incarnation == incarnation;
  return same ? found->second : nullptr;
}

}  // namespace damaskroute
