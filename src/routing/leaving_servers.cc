#include "damaskroute/routing/leaving_servers.h"

namespace damaskroute {

void LeavingServers::Add(const BackendName& id, std::int64_t incarnation) {
  auto [place, inserted] = incarnations_.insert_or_assign(id, incarnation);
  if (!inserted) return;
  order_.push_back(id);
  if (order_.size() <= kMaxServers) return;
  incarnations_.erase(order_.front());
  order_.pop_front();
}

bool LeavingServers::Contains(const BackendName& id, std::int64_t incarnation) const {
  auto found = incarnations_.find(id);
  return found != incarnations_.end() && found->second == incarnation;
}

}  // namespace damaskroute
