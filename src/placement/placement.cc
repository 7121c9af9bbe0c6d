#include "damaskroute/placement/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

struct Ranked {
  std::uint64_t weight = 0;
  std::uint32_t position = 0;
};

// Equal weights are ordered by position, so that all nodes agree.
bool RanksBefore(const Ranked& a, const Ranked& b) {
  return a.weight != b.weight ? a.weight > b.weight : a.position < b.position;
}

}  // namespace

struct Placement::ZoneNodes {
  std::vector<NodeName> nodes;  // Sorted.
};

struct Placement::Location {
  std::uint32_t zone = 0;
  std::uint32_t position = 0;
};

// State of a service that depends only on the configuration and on which zones have nodes.
struct Placement::Layout {
  Service service;
  std::vector<Location> locations;                                        // By backend server.
  std::unordered_map<std::string_view, std::uint32_t, NameHash> by_name;  // Views of `service`.
  std::vector<std::vector<std::uint32_t>> hosted;  // By zone: backend servers held by its nodes.
};

// Group of a service in a zone, and the holders of the backend servers hosted there.
struct Placement::ZoneAssignment {
  struct Pair {
    std::uint32_t first = 0;
    std::uint32_t second = 0;  // Equal to `first` if there is one holder.
  };
  std::vector<NodeName> group;
  std::vector<Pair> holders;  // Positions in `group`, parallel to `Layout::hosted`.
};

struct Placement::ServicePlacement {
  std::shared_ptr<const Layout> layout;
  std::vector<std::shared_ptr<const ZoneAssignment>> assignments;  // By zone; null without nodes.
};

// Maps names of services and backend servers to positions in `services_`. Backend servers are in
// buckets, so that a small change copies only a few of them: rebuilding the whole index of 36,000
// took 8 ms per change.
struct Placement::Index {
  using Names = std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>>;

  std::shared_ptr<const Names> services;
  std::array<std::shared_ptr<Names>, 256> backends;  // By hash; shared with other indexes.

  std::shared_ptr<Names>& BucketOf(std::string_view backend) {
    return backends[Hash64(backend, kBucketSeed) % backends.size()];
  }

  // Returns the position of the service of the backend server, or nullopt.
  std::optional<std::uint32_t> FindBackend(std::string_view backend) const {
    const auto& bucket = backends[Hash64(backend, kBucketSeed) % backends.size()];
    if (bucket == nullptr) return std::nullopt;
    auto it = bucket->find(backend);
    return it == bucket->end() ? std::nullopt : std::optional(it->second);
  }

  // Returns the bucket of the backend server for modification; copies it if it is shared.
  Names& MutableBucket(std::string_view backend) {
    std::shared_ptr<Names>& bucket = BucketOf(backend);
    if (bucket == nullptr) {
      bucket = std::make_shared<Names>();
    } else if (bucket.use_count() > 1) {
      bucket = std::make_shared<Names>(*bucket);
    }
    return *bucket;
  }

 private:
  // Differs from the seed of NameHash: the names within a bucket would otherwise collide.
  static constexpr std::uint64_t kBucketSeed = 1;
};

std::size_t Placement::NameHash::operator()(std::string_view name) const { return Hash64(name); }

Placement::Placement() : index_(std::make_shared<const Index>()) {}

Placement::Placement(const ConfigDocument& config, const Roster& roster, double backends_per_node)
    : backends_per_node_(std::max(1.0, backends_per_node)) {
  Build(config, roster, nullptr);
}

Placement Placement::Next(const ConfigDocument& config, const Roster& roster) const {
  Placement next;
  next.backends_per_node_ = backends_per_node_;
  next.Build(config, roster, this);
  return next;
}

void Placement::SetZones(const ConfigDocument& config, const Roster& roster,
                         const PreviousServices& previous_services, const Placement* previous) {
  std::map<ZoneName, std::vector<NodeName>> by_zone;
  if (previous != nullptr) {
    // Zones that are no longer used may stay: they have neither nodes nor backend servers.
    for (const ZoneName& zone : previous->zones_) by_zone[zone];
  }
  for (const Zone& zone : config.zones) by_zone[zone.name];
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    if (!previous_services.empty() && previous_services[i].unchanged) continue;
    for (const BackendServer& backend : config.services[i].backends) {
      if (!by_zone.contains(backend.zone)) by_zone[backend.zone];
    }
  }
  // Revision 0 denotes documents built by tests.
  bool same_roster =
      previous != nullptr && roster.revision != 0 && roster.revision == previous->roster_revision_;
  if (same_roster && by_zone.size() == previous->zones_.size()) {
    zones_ = previous->zones_;
    host_zones_ = previous->host_zones_;
    zone_nodes_ = previous->zone_nodes_;
    return;
  }
  for (const RosterEntry& entry : roster.node_entries) {
    if (!entry.leaving) by_zone[entry.zone].push_back(entry.node);
  }
  for (auto& [zone, nodes] : by_zone) {
    std::sort(nodes.begin(), nodes.end());
    zones_.push_back(zone);
    zone_nodes_.push_back(std::make_shared<const ZoneNodes>(ZoneNodes{std::move(nodes)}));
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    std::size_t host = zone;
    for (std::size_t step = 0; step < zones_.size() && zone_nodes_[host]->nodes.empty(); ++step) {
      host = (host + 1) % zones_.size();
    }
    host_zones_.push_back(host);
  }
}

void Placement::Build(const ConfigDocument& config, const Roster& roster,
                      const Placement* previous) {
  config_revision_ = config.revision;
  roster_revision_ = roster.revision;
  // Revision 0 denotes documents built by tests.
  bool same_config =
      previous != nullptr && config.revision != 0 && previous->config_revision_ == config.revision;
  PreviousServices previous_services;
  if (previous != nullptr) {
    for (const Service& service : config.services) {
      const ServicePlacement* placement = previous->FindService(service.name);
      bool unchanged =
          placement != nullptr && (same_config || placement->layout->service == service);
      previous_services.push_back({placement, unchanged});
    }
  }
  SetZones(config, roster, previous_services, previous);
  // Layouts refer to zones by position, so nothing can be reused when the zones differ.
  if (previous != nullptr && (previous->zones_ != zones_ || previous->host_zones_ != host_zones_)) {
    previous = nullptr;
  }
  if (previous == nullptr) previous_services.assign(config.services.size(), PreviousService{});
  Layouts layouts;
  layouts.reserve(config.services.size());
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    layouts.push_back(previous_services[i].unchanged ? previous_services[i].placement->layout
                                                     : MakeLayout(config.services[i]));
  }
  std::vector<ServicePlacement> placements(layouts.size());
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    bool same_groups = previous != nullptr && SameGroups(layouts, zone, *previous);
    std::vector<std::vector<NodeName>> groups;
    if (!same_groups) groups = ChooseGroups(layouts, zone);
    for (std::size_t i = 0; i < layouts.size(); ++i) {
      const ServicePlacement* placement = previous_services[i].placement;
      std::shared_ptr<const ZoneAssignment> old =
          placement != nullptr ? placement->assignments[zone] : nullptr;
      bool same_group = old != nullptr && (same_groups || old->group == groups[i]);
      bool keep = same_group && placement->layout == layouts[i];
      std::vector<NodeName> group = keep          ? std::vector<NodeName>()
                                    : same_groups ? (old ? old->group : std::vector<NodeName>())
                                                  : std::move(groups[i]);
      placements[i].assignments.push_back(
          keep ? std::move(old) : AssignHolders(*layouts[i], zone, std::move(group)));
    }
  }
  for (std::size_t i = 0; i < layouts.size(); ++i) {
    placements[i].layout = std::move(layouts[i]);
    services_.push_back(std::make_shared<const ServicePlacement>(std::move(placements[i])));
  }
  BuildIndex(previous);
}

void Placement::BuildIndex(const Placement* previous) {
  auto same_layout = [](const auto& a, const auto& b) { return a->layout == b->layout; };
  auto same_name = [](const auto& a, const auto& b) {
    return a->layout == b->layout || a->layout->service.name == b->layout->service.name;
  };
  auto matches = [&](const auto& same) {
    return previous != nullptr &&
           std::equal(services_.begin(), services_.end(), previous->services_.begin(),
                      previous->services_.end(), same);
  };
  if (matches(same_layout)) {
    index_ = previous->index_;
    return;
  }
  bool update = matches(same_name);
  auto index = update ? std::make_shared<Index>(*previous->index_) : std::make_shared<Index>();
  if (update) {
    for (std::size_t position = 0; position < services_.size(); ++position) {
      const Layout& old = *previous->services_[position]->layout;
      const Layout& layout = *services_[position]->layout;
      if (&old == &layout) continue;
      for (const BackendServer& backend : old.service.backends) {
        if (!layout.by_name.contains(backend.name)) {
          index->MutableBucket(backend.name).erase(backend.name);
        }
      }
    }
  } else {
    auto services = std::make_shared<Index::Names>();
    for (std::uint32_t position = 0; position < services_.size(); ++position) {
      services->emplace(services_[position]->layout->service.name, position);
    }
    index->services = std::move(services);
  }
  for (std::uint32_t position = 0; position < services_.size(); ++position) {
    const Layout& layout = *services_[position]->layout;
    const Layout* old = update ? previous->services_[position]->layout.get() : nullptr;
    if (old == &layout) continue;
    for (const BackendServer& backend : layout.service.backends) {
      bool known = old != nullptr && old->by_name.contains(backend.name);
      if (!known) index->MutableBucket(backend.name).emplace(backend.name, position);
    }
  }
  index_ = std::move(index);
}

std::shared_ptr<const Placement::Layout> Placement::MakeLayout(const Service& service) const {
  auto layout = std::make_shared<Layout>();
  layout->service = service;
  layout->hosted.resize(zones_.size());
  const std::vector<BackendServer>& backends = std::as_const(layout->service).backends.get();
  layout->by_name.reserve(backends.size());
  for (std::uint32_t i = 0; i < backends.size(); ++i) {
    layout->by_name.emplace(backends[i].name, i);
    auto zone = std::lower_bound(zones_.begin(), zones_.end(), backends[i].zone);
    auto host = static_cast<std::uint32_t>(host_zones_[zone - zones_.begin()]);
    layout->locations.push_back({host, static_cast<std::uint32_t>(layout->hosted[host].size())});
    layout->hosted[host].push_back(i);
  }
  return layout;
}

std::size_t Placement::GroupSize(const Layout& layout, std::size_t zone) const {
  auto wanted = static_cast<std::size_t>(
      std::ceil(static_cast<double>(layout.hosted[zone].size()) / backends_per_node_));
  return std::min(std::max<std::size_t>(2, wanted), zone_nodes_[zone]->nodes.size());
}

bool Placement::SameGroups(const Layouts& layouts, std::size_t zone,
                           const Placement& previous) const {
  if (zone_nodes_[zone] != previous.zone_nodes_[zone] &&
      zone_nodes_[zone]->nodes != previous.zone_nodes_[zone]->nodes) {
    return false;
  }
  return std::equal(layouts.begin(), layouts.end(), previous.services_.begin(),
                    previous.services_.end(), [&](const auto& layout, const auto& placement) {
                      return layout == placement->layout ||
                             (layout->service.name == placement->layout->service.name &&
                              GroupSize(*layout, zone) == GroupSize(*placement->layout, zone));
                    });
}

std::vector<std::vector<NodeName>> Placement::ChooseGroups(const Layouts& layouts,
                                                           std::size_t zone) const {
  const std::vector<NodeName>& nodes = zone_nodes_[zone]->nodes;
  std::vector<std::vector<NodeName>> groups(layouts.size());
  if (nodes.empty()) return groups;
  std::vector<std::size_t> order(layouts.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return layouts[a]->service.name < layouts[b]->service.name;
  });
  std::vector<std::uint32_t> load(nodes.size());
  std::vector<Ranked> ranking(nodes.size());
  for (std::size_t service : order) {
    std::uint64_t seed = Hash64(layouts[service]->service.name);
    for (std::uint32_t i = 0; i < nodes.size(); ++i) ranking[i] = {Hash64(nodes[i], seed), i};
    auto end = ranking.begin() + static_cast<std::ptrdiff_t>(GroupSize(*layouts[service], zone));
    std::nth_element(ranking.begin(), end - 1, ranking.end(),
                     [&](const Ranked& a, const Ranked& b) {
                       std::uint32_t load_a = load[a.position];
                       std::uint32_t load_b = load[b.position];
                       return load_a != load_b ? load_a < load_b : RanksBefore(a, b);
                     });
    std::sort(ranking.begin(), end, RanksBefore);
    for (auto it = ranking.begin(); it != end; ++it) {
      groups[service].push_back(nodes[it->position]);
      ++load[it->position];
    }
  }
  return groups;
}

std::shared_ptr<const Placement::ZoneAssignment> Placement::AssignHolders(
    const Layout& layout, std::size_t zone, std::vector<NodeName> group) {
  if (group.empty()) return nullptr;
  auto assignment = std::make_shared<ZoneAssignment>();
  assignment->group = std::move(group);
  auto size = static_cast<std::uint32_t>(assignment->group.size());
  // At the target size the factors 1.25, 1.5 and 2 give at most 24, 28 and 30 backend servers
  // per node, and 126, 110 and 94 of them move on a join or leave.
  auto max_per_node = static_cast<std::uint32_t>(
      std::ceil(1.25 * static_cast<double>(layout.hosted[zone].size()) / size));
  std::vector<std::uint32_t> firsts(size);
  std::vector<std::uint32_t> seconds(size);
  std::vector<Ranked> ranking(size);
  auto choose = [&](std::vector<std::uint32_t>& counts, std::uint32_t excluded) {
    auto is_free = [&](const Ranked& member) {
      return member.position != excluded && counts[member.position] < max_per_node;
    };
    auto it = std::find_if(ranking.begin(), ranking.end(), is_free);
    if (it == ranking.end()) it = ranking.begin() + (ranking.front().position == excluded ? 1 : 0);
    ++counts[it->position];
    return it->position;
  };
  for (std::uint32_t backend : layout.hosted[zone]) {
    std::uint64_t key = Hash64(layout.service.backends[backend].name);
    for (std::uint32_t i = 0; i < size; ++i) ranking[i] = {Hash64(assignment->group[i], key), i};
    std::sort(ranking.begin(), ranking.end(), RanksBefore);
    std::uint32_t first = choose(firsts, size);
    assignment->holders.push_back({first, size > 1 ? choose(seconds, first) : first});
  }
  return assignment;
}

const Placement::ServicePlacement* Placement::FindService(const ServiceName& service) const {
  if (index_->services == nullptr) return nullptr;
  auto it = index_->services->find(service);
  return it == index_->services->end() ? nullptr : services_[it->second].get();
}

std::vector<Group> Placement::Groups(const ServiceName& service) const {
  std::vector<Group> groups;
  const ServicePlacement* placement = FindService(service);
  if (placement == nullptr) return groups;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (placement->assignments[zone] != nullptr) {
      groups.push_back({zones_[zone], placement->assignments[zone]->group});
    }
  }
  return groups;
}

std::vector<NodeName> Placement::CoordinatorsOf(const ServiceName& service) const {
  std::vector<NodeName> nodes;
  for (Group& group : Groups(service)) {
    nodes.insert(nodes.end(), std::make_move_iterator(group.nodes.begin()),
                 std::make_move_iterator(group.nodes.end()));
  }
  return nodes;
}

std::optional<std::size_t> Placement::ZoneOfNode(const NodeName& node) const {
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    const std::vector<NodeName>& nodes = zone_nodes_[zone]->nodes;
    if (std::binary_search(nodes.begin(), nodes.end(), node)) return zone;
  }
  return std::nullopt;
}

bool Placement::IsCoordinator(const NodeName& node, const ServiceName& service) const {
  const ServicePlacement* placement = FindService(service);
  std::optional<std::size_t> zone = ZoneOfNode(node);
  if (placement == nullptr || !zone) return false;
  const std::vector<NodeName>& group = placement->assignments[*zone]->group;
  return std::find(group.begin(), group.end(), node) != group.end();
}

std::vector<ServiceName> Placement::ServicesCoordinatedBy(const NodeName& node) const {
  std::vector<ServiceName> services;
  for (const auto& placement : services_) {
    if (IsCoordinator(node, placement->layout->service.name)) {
      services.push_back(placement->layout->service.name);
    }
  }
  return services;
}

std::optional<Holders> Placement::HoldersOf(const BackendName& backend) const {
  std::optional<std::uint32_t> position = index_->FindBackend(backend);
  if (!position) return std::nullopt;
  const ServicePlacement& placement = *services_[*position];
  Location location = placement.layout->locations[placement.layout->by_name.at(backend)];
  const ZoneAssignment* assignment = placement.assignments[location.zone].get();
  if (assignment == nullptr) return std::nullopt;
  ZoneAssignment::Pair pair = assignment->holders[location.position];
  Holders holders{assignment->group[pair.first], std::nullopt};
  if (pair.second != pair.first) holders.second = assignment->group[pair.second];
  return holders;
}

std::vector<BackendName> Placement::BackendsHeldBy(const NodeName& node) const {
  std::vector<BackendName> held;
  std::optional<std::size_t> zone = ZoneOfNode(node);
  if (!zone) return held;
  for (const auto& placement : services_) {
    const ZoneAssignment& assignment = *placement->assignments[*zone];
    auto member = std::find(assignment.group.begin(), assignment.group.end(), node);
    if (member == assignment.group.end()) continue;
    auto position = static_cast<std::uint32_t>(member - assignment.group.begin());
    const Layout& layout = *placement->layout;
    for (std::size_t i = 0; i < assignment.holders.size(); ++i) {
      if (assignment.holders[i].first == position || assignment.holders[i].second == position) {
        held.push_back(layout.service.backends[layout.hosted[*zone][i]].name);
      }
    }
  }
  return held;
}

Share Placement::ShareOf(const NodeName& node, const BackendName& backend) const {
  std::optional<Holders> holders = HoldersOf(backend);
  if (!holders) return {};
  return ShareOfHalves(*FindBackend(backend), holders->OwnerOf(ShareHalf::kFirst) == node,
                       holders->OwnerOf(ShareHalf::kSecond) == node);
}

const BackendServer* Placement::FindBackend(const BackendName& backend) const {
  std::optional<std::uint32_t> position = index_->FindBackend(backend);
  if (!position) return nullptr;
  const Layout& layout = *services_[*position]->layout;
  return &layout.service.backends[layout.by_name.at(backend)];
}

const Service* Placement::ServiceOf(const BackendName& backend) const {
  std::optional<std::uint32_t> position = index_->FindBackend(backend);
  return position ? &services_[*position]->layout->service : nullptr;
}

}  // namespace damaskroute
