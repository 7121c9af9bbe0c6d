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

struct Placement::ZoneSeats {
  std::vector<NodeName> nodes;  // Sorted.
};

struct Placement::Location {
  std::uint32_t zone = 0;
  std::uint32_t position = 0;
};

// The part of a service that depends on the configuration and on which zones have seats.
struct Placement::Layout {
  Service service;
  std::vector<Location> where;                                            // By backend server.
  std::unordered_map<std::string_view, std::uint32_t, NameHash> by_name;  // Views of `service`.
  std::vector<std::vector<std::uint32_t>> hosted;  // By zone: backend servers its seats hold.
};

// Group of a service in a zone, and the holders of the backend servers hosted there.
struct Placement::Cell {
  struct Pair {
    std::uint32_t first = 0;
    std::uint32_t second = 0;  // Equal to `first` if there is one holder.
  };
  std::vector<NodeName> group;
  std::vector<Pair> holders;  // Positions in `group`, parallel to `Layout::hosted`.
};

struct Placement::ServicePart {
  std::shared_ptr<const Layout> layout;
  std::vector<std::shared_ptr<const Cell>> cells;  // By zone; null without seats.
};

// Finds the part of a service and of a backend server. In buckets, so that a change of some backend
// servers copies only some: rebuilding the whole for 36,000 took 8 ms of each change.
struct Placement::Index {
  using Names = std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>>;

  std::shared_ptr<const Names> services;
  std::array<std::shared_ptr<Names>, 256> backends;  // By hash; shared with other indexes.

  std::shared_ptr<Names>& BucketOf(std::string_view backend) {
    return backends[Hash64(backend, kBucketSeed) % backends.size()];
  }

  // Position of the part that has the backend server, or nullopt.
  std::optional<std::uint32_t> FindBackend(std::string_view backend) const {
    const auto& bucket = backends[Hash64(backend, kBucketSeed) % backends.size()];
    if (bucket == nullptr) return std::nullopt;
    auto it = bucket->find(backend);
    return it == bucket->end() ? std::nullopt : std::optional(it->second);
  }

  // The bucket of the backend server as one that may be changed.
  Names& Own(std::string_view backend) {
    std::shared_ptr<Names>& bucket = BucketOf(backend);
    if (bucket == nullptr) {
      bucket = std::make_shared<Names>();
    } else if (bucket.use_count() > 1) {
      bucket = std::make_shared<Names>(*bucket);
    }
    return *bucket;
  }

 private:
  // The names in a bucket must not have similar hashes there.
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
                         const OldParts& old_parts, const Placement* previous) {
  std::map<ZoneName, std::vector<NodeName>> by_zone;
  if (previous != nullptr) {
    // A zone that is in use no more changes nothing, as it has neither seats nor backend servers.
    for (const ZoneName& zone : previous->zones_) by_zone[zone];
  }
  for (const Zone& zone : config.zones) by_zone[zone.name];
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    if (!old_parts.empty() && old_parts[i].unchanged) continue;
    for (const BackendServer& backend : config.services[i].backends) {
      if (!by_zone.contains(backend.zone)) by_zone[backend.zone];
    }
  }
  // Revision 0 stands for documents that tests build by hand.
  bool same_roster =
      previous != nullptr && roster.revision != 0 && roster.revision == previous->roster_revision_;
  if (same_roster && by_zone.size() == previous->zones_.size()) {
    zones_ = previous->zones_;
    host_ = previous->host_;
    seats_ = previous->seats_;
    return;
  }
  for (const Seat& seat : roster.seats) {
    if (!seat.leaving) by_zone[seat.zone].push_back(seat.node);
  }
  for (auto& [zone, nodes] : by_zone) {
    std::sort(nodes.begin(), nodes.end());
    zones_.push_back(zone);
    seats_.push_back(std::make_shared<const ZoneSeats>(ZoneSeats{std::move(nodes)}));
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    std::size_t host = zone;
    for (std::size_t step = 0; step < zones_.size() && seats_[host]->nodes.empty(); ++step) {
      host = (host + 1) % zones_.size();
    }
    host_.push_back(host);
  }
}

void Placement::Build(const ConfigDocument& config, const Roster& roster,
                      const Placement* previous) {
  config_revision_ = config.revision;
  roster_revision_ = roster.revision;
  // Revision 0 stands for documents that tests build by hand.
  bool same_config =
      previous != nullptr && config.revision != 0 && previous->config_revision_ == config.revision;
  OldParts old_parts;
  if (previous != nullptr) {
    for (const Service& service : config.services) {
      const ServicePart* part = previous->FindPart(service.name);
      bool unchanged = part != nullptr && (same_config || part->layout->service == service);
      old_parts.push_back({part, unchanged});
    }
  }
  SetZones(config, roster, old_parts, previous);
  // Layouts refer to zones by position, so nothing can be kept when the zones differ.
  if (previous != nullptr && (previous->zones_ != zones_ || previous->host_ != host_)) {
    previous = nullptr;
  }
  if (previous == nullptr) old_parts.assign(config.services.size(), OldPart{});
  Layouts layouts;
  layouts.reserve(config.services.size());
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    layouts.push_back(old_parts[i].unchanged ? old_parts[i].part->layout
                                             : MakeLayout(config.services[i]));
  }
  std::vector<ServicePart> parts(layouts.size());
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    bool same_groups = previous != nullptr && SameGroups(layouts, zone, *previous);
    std::vector<std::vector<NodeName>> groups;
    if (!same_groups) groups = ChooseGroups(layouts, zone);
    for (std::size_t i = 0; i < layouts.size(); ++i) {
      const ServicePart* part = old_parts[i].part;
      std::shared_ptr<const Cell> old = part != nullptr ? part->cells[zone] : nullptr;
      bool same_group = old != nullptr && (same_groups || old->group == groups[i]);
      bool keep = same_group && part->layout == layouts[i];
      std::vector<NodeName> group = keep          ? std::vector<NodeName>()
                                    : same_groups ? (old ? old->group : std::vector<NodeName>())
                                                  : std::move(groups[i]);
      parts[i].cells.push_back(keep ? std::move(old)
                                    : MakeCell(*layouts[i], zone, std::move(group)));
    }
  }
  for (std::size_t i = 0; i < layouts.size(); ++i) {
    parts[i].layout = std::move(layouts[i]);
    parts_.push_back(std::make_shared<const ServicePart>(std::move(parts[i])));
  }
  SetIndex(previous);
}

void Placement::SetIndex(const Placement* previous) {
  auto same_layout = [](const auto& a, const auto& b) { return a->layout == b->layout; };
  auto same_name = [](const auto& a, const auto& b) {
    return a->layout == b->layout || a->layout->service.name == b->layout->service.name;
  };
  auto matches = [&](const auto& same) {
    return previous != nullptr && std::equal(parts_.begin(), parts_.end(), previous->parts_.begin(),
                                             previous->parts_.end(), same);
  };
  if (matches(same_layout)) {
    index_ = previous->index_;
    return;
  }
  bool update = matches(same_name);
  auto index = update ? std::make_shared<Index>(*previous->index_) : std::make_shared<Index>();
  if (update) {
    for (std::size_t part = 0; part < parts_.size(); ++part) {
      const Layout& old = *previous->parts_[part]->layout;
      const Layout& layout = *parts_[part]->layout;
      if (&old == &layout) continue;
      for (const BackendServer& backend : old.service.backends) {
        if (!layout.by_name.contains(backend.name)) index->Own(backend.name).erase(backend.name);
      }
    }
  } else {
    auto services = std::make_shared<Index::Names>();
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
      services->emplace(parts_[part]->layout->service.name, part);
    }
    index->services = std::move(services);
  }
  for (std::uint32_t part = 0; part < parts_.size(); ++part) {
    const Layout& layout = *parts_[part]->layout;
    const Layout* old = update ? previous->parts_[part]->layout.get() : nullptr;
    if (old == &layout) continue;
    for (const BackendServer& backend : layout.service.backends) {
      bool known = old != nullptr && old->by_name.contains(backend.name);
      if (!known) index->Own(backend.name).emplace(backend.name, part);
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
    auto host = static_cast<std::uint32_t>(host_[zone - zones_.begin()]);
    layout->where.push_back({host, static_cast<std::uint32_t>(layout->hosted[host].size())});
    layout->hosted[host].push_back(i);
  }
  return layout;
}

std::size_t Placement::GroupSize(const Layout& layout, std::size_t zone) const {
  auto wanted = static_cast<std::size_t>(
      std::ceil(static_cast<double>(layout.hosted[zone].size()) / backends_per_node_));
  return std::min(std::max<std::size_t>(2, wanted), seats_[zone]->nodes.size());
}

bool Placement::SameGroups(const Layouts& layouts, std::size_t zone,
                           const Placement& previous) const {
  if (seats_[zone] != previous.seats_[zone] &&
      seats_[zone]->nodes != previous.seats_[zone]->nodes) {
    return false;
  }
  return std::equal(layouts.begin(), layouts.end(), previous.parts_.begin(), previous.parts_.end(),
                    [&](const auto& layout, const auto& part) {
                      return layout == part->layout ||
                             (layout->service.name == part->layout->service.name &&
                              GroupSize(*layout, zone) == GroupSize(*part->layout, zone));
                    });
}

std::vector<std::vector<NodeName>> Placement::ChooseGroups(const Layouts& layouts,
                                                           std::size_t zone) const {
  const std::vector<NodeName>& nodes = seats_[zone]->nodes;
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

std::shared_ptr<const Placement::Cell> Placement::MakeCell(const Layout& layout, std::size_t zone,
                                                           std::vector<NodeName> group) {
  if (group.empty()) return nullptr;
  auto cell = std::make_shared<Cell>();
  cell->group = std::move(group);
  auto size = static_cast<std::uint32_t>(cell->group.size());
  // At the target size the factors 1.25, 1.5 and 2 give at most 24, 28 and 30 backend servers per
  // node, and 126, 110 and 94 of them move on a join or leave.
  auto most = static_cast<std::uint32_t>(
      std::ceil(1.25 * static_cast<double>(layout.hosted[zone].size()) / size));
  std::vector<std::uint32_t> firsts(size);
  std::vector<std::uint32_t> seconds(size);
  std::vector<Ranked> ranking(size);
  auto choose = [&](std::vector<std::uint32_t>& counts, std::uint32_t excluded) {
    auto free = [&](const Ranked& member) {
      return member.position != excluded && counts[member.position] < most;
    };
    auto it = std::find_if(ranking.begin(), ranking.end(), free);
    if (it == ranking.end()) it = ranking.begin() + (ranking.front().position == excluded ? 1 : 0);
    ++counts[it->position];
    return it->position;
  };
  for (std::uint32_t backend : layout.hosted[zone]) {
    std::uint64_t key = Hash64(layout.service.backends[backend].name);
    for (std::uint32_t i = 0; i < size; ++i) ranking[i] = {Hash64(cell->group[i], key), i};
    std::sort(ranking.begin(), ranking.end(), RanksBefore);
    std::uint32_t first = choose(firsts, size);
    cell->holders.push_back({first, size > 1 ? choose(seconds, first) : first});
  }
  return cell;
}

const Placement::ServicePart* Placement::FindPart(const ServiceName& service) const {
  if (index_->services == nullptr) return nullptr;
  auto it = index_->services->find(service);
  return it == index_->services->end() ? nullptr : parts_[it->second].get();
}

std::vector<Group> Placement::Groups(const ServiceName& service) const {
  std::vector<Group> groups;
  const ServicePart* part = FindPart(service);
  if (part == nullptr) return groups;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (part->cells[zone] != nullptr) groups.push_back({zones_[zone], part->cells[zone]->group});
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

std::optional<std::size_t> Placement::ZoneOfSeat(const NodeName& node) const {
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    const std::vector<NodeName>& nodes = seats_[zone]->nodes;
    if (std::binary_search(nodes.begin(), nodes.end(), node)) return zone;
  }
  return std::nullopt;
}

bool Placement::IsCoordinator(const NodeName& node, const ServiceName& service) const {
  const ServicePart* part = FindPart(service);
  std::optional<std::size_t> zone = ZoneOfSeat(node);
  if (part == nullptr || !zone) return false;
  const std::vector<NodeName>& group = part->cells[*zone]->group;
  return std::find(group.begin(), group.end(), node) != group.end();
}

std::vector<ServiceName> Placement::ServicesCoordinatedBy(const NodeName& node) const {
  std::vector<ServiceName> services;
  for (const auto& part : parts_) {
    if (IsCoordinator(node, part->layout->service.name)) {
      services.push_back(part->layout->service.name);
    }
  }
  return services;
}

std::optional<Holders> Placement::HoldersOf(const BackendName& backend) const {
  std::optional<std::uint32_t> position = index_->FindBackend(backend);
  if (!position) return std::nullopt;
  const ServicePart& part = *parts_[*position];
  Location where = part.layout->where[part.layout->by_name.at(backend)];
  const Cell* cell = part.cells[where.zone].get();
  if (cell == nullptr) return std::nullopt;
  Cell::Pair pair = cell->holders[where.position];
  Holders holders{cell->group[pair.first], std::nullopt};
  if (pair.second != pair.first) holders.second = cell->group[pair.second];
  return holders;
}

std::vector<BackendName> Placement::BackendsHeldBy(const NodeName& node) const {
  std::vector<BackendName> held;
  std::optional<std::size_t> zone = ZoneOfSeat(node);
  if (!zone) return held;
  for (const auto& part : parts_) {
    const Cell& cell = *part->cells[*zone];
    auto member = std::find(cell.group.begin(), cell.group.end(), node);
    if (member == cell.group.end()) continue;
    auto position = static_cast<std::uint32_t>(member - cell.group.begin());
    const Layout& layout = *part->layout;
    for (std::size_t i = 0; i < cell.holders.size(); ++i) {
      if (cell.holders[i].first == position || cell.holders[i].second == position) {
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
  const Layout& layout = *parts_[*position]->layout;
  return &layout.service.backends[layout.by_name.at(backend)];
}

const Service* Placement::ServiceOf(const BackendName& backend) const {
  std::optional<std::uint32_t> position = index_->FindBackend(backend);
  return position ? &parts_[*position]->layout->service : nullptr;
}

}  // namespace damaskroute
