#include "damaskroute/scatter/partition_view.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

namespace damaskroute {
namespace {

using RangesByVersion =
    std::map<IndexVersion, std::vector<std::pair<KeyRange, std::uint32_t>>, std::greater<>>;

bool CanCall(const BackendReport& report) {
  return report.share > 0 && report.state != BackendState::kDown &&
         report.state != BackendState::kDraining;
}

bool SameContent(const BackendReport& a, const BackendReport& b) {
  return std::tie(a.boot_id, a.state, a.share, a.held) ==
         std::tie(b.boot_id, b.state, b.share, b.held);
}

// Splits the key space at each range boundary and merges adjacent segments with equal replicas.
VersionMap MakeVersionMap(IndexVersion version,
                          const std::vector<std::pair<KeyRange, std::uint32_t>>& held) {
  struct Boundary {
    std::uint64_t key;
    std::uint32_t replica;
    bool begins;
  };
  std::vector<Boundary> boundaries;
  boundaries.reserve(held.size() * 2);
  for (const auto& [range, replica] : held) {
    boundaries.push_back({range.low, replica, true});
    boundaries.push_back({range.high, replica, false});
  }
  std::sort(boundaries.begin(), boundaries.end(),
            [](const Boundary& a, const Boundary& b) { return a.key < b.key; });
  VersionMap map{.version = version, .segments = {}, .covered = 0};
  std::multiset<std::uint32_t> active;  // Two holders may report the same range.
  std::uint64_t previous = 0;
  for (const Boundary& boundary : boundaries) {
    if (boundary.key > previous && !active.empty()) {
      std::vector<std::uint32_t> replicas(active.begin(), active.end());
      replicas.erase(std::unique(replicas.begin(), replicas.end()), replicas.end());
      map.covered += boundary.key - previous;
      if (!map.segments.empty() && map.segments.back().range.high == previous &&
          map.segments.back().replicas == replicas) {
        map.segments.back().range.high = boundary.key;
      } else {
        map.segments.push_back({{previous, boundary.key}, std::move(replicas)});
      }
    }
    previous = boundary.key;
    if (boundary.begins) {
      active.insert(boundary.replica);
    } else {
      active.erase(active.find(boundary.replica));
    }
  }
  return map;
}

std::uint32_t IndexOf(std::vector<NodeName>& holders, const NodeName& node) {
  auto it = std::find(holders.begin(), holders.end(), node);
  if (it == holders.end()) it = holders.insert(holders.end(), node);
  return static_cast<std::uint32_t>(it - holders.begin());
}

}  // namespace

bool PartitionView::Apply(const BackendReport& report) {
  std::shared_ptr<const BackendReport>& known =
      reports_[report.service][{report.backend, report.holder}];
  if (known != nullptr && report.sequence <= known->sequence) return false;
  bool changed = known == nullptr || !SameContent(*known, report);
  known = std::make_shared<const BackendReport>(report);
  return changed;
}

bool PartitionView::RemoveHolder(const NodeName& holder) {
  std::size_t removed = 0;
  for (auto& [service, reports] : reports_) {
    removed +=
        std::erase_if(reports, [&](const auto& entry) { return entry.first.second == holder; });
  }
  std::erase_if(reports_, [](const auto& entry) { return entry.second.empty(); });
  return removed > 0;
}

ServiceView PartitionView::MakeServiceView(const ServiceName& service, const ConfigDocument& config,
                                           LoadTable& loads) const {
  ServiceView view;
  view.service = service;
  // Checked first: the common case for a service that this node does not coordinate.
  auto reports = reports_.find(service);
  if (reports == reports_.end()) return view;
  const Service* declared = config.FindService(service);
  if (declared == nullptr) return view;
  std::map<BackendName, const BackendServer*> allowed;
  for (const BackendServer& backend : declared->backends) {
    if (AcceptsWork(config, backend)) allowed.emplace(backend.name, &backend);
  }
  RangesByVersion ranges;
  for (const auto& [key, report] : reports->second) {  // Ordered by backend server.
    auto backend = allowed.find(report->backend);
    if (backend == allowed.end() || !CanCall(*report)) continue;
    if (view.replicas.empty() || view.replicas.back().backend != report->backend) {
      view.replicas.push_back({.backend = report->backend,
                               .zone = backend->second->zone,
                               .state = report->state,
                               .slots = 0,
                               .holders = {},
                               .load = loads.OfBackend(report->backend)});
    }
    Replica& replica = view.replicas.back();
    replica.slots += report->share;
    // If the holders disagree, the backend server is treated as cold.
    if (report->state == BackendState::kCold) replica.state = BackendState::kCold;
    replica.holders.push_back({.node = report->holder,
                               .node_index = IndexOf(view.holders, report->holder),
                               .share = report->share,
                               .load = loads.OfHolder(report->backend, report->holder)});
    auto index = static_cast<std::uint32_t>(view.replicas.size() - 1);
    for (const HeldRange& held : report->held) {
      if (held.range.IsEmpty() || held.range.high > kKeySpaceSize) continue;
      ranges[held.version].push_back({held.range, index});
    }
  }
  for (const auto& [version, held] : ranges) {
    view.versions.push_back(MakeVersionMap(version, held));
  }
  return view;
}

}  // namespace damaskroute
