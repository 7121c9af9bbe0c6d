#include "damaskroute/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
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
  std::vector<Location> where;                     // By backend server.
  std::vector<std::vector<std::uint32_t>> hosted;  // By zone: backend servers its seats hold.
};

// Group of a service in a zone, and the holders of the backend servers hosted there.
struct Placement::Cell {
  struct Pair {
    std::uint32_t first = 0;
    std::uint32_t second = 0;  // Equal to `first` if there is one holder.
  };
  std::vector<NodeName> group;
  std::uint64_t last_weight = 0;  // Of the last member of the group.
  std::vector<Pair> holders;      // Positions in `group`, parallel to `Layout::hosted`.
};

struct Placement::ServicePart {
  std::shared_ptr<const Layout> layout;
  std::vector<std::shared_ptr<const Cell>> cells;  // By zone; null without seats.
};

struct Placement::Index {
  struct Entry {
    std::uint32_t part = 0;
    std::uint32_t backend = 0;
  };
  std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>> services;
  std::unordered_map<std::string, Entry, NameHash, std::equal_to<>> backends;
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

void Placement::SetZones(const ConfigDocument& config, const Roster& roster) {
  std::map<ZoneName, std::vector<NodeName>> by_zone;
  for (const Zone& zone : config.zones) by_zone[zone.name];
  for (const Service& service : config.services) {
    for (const BackendServer& backend : service.backends) {
      if (!by_zone.contains(backend.zone)) by_zone[backend.zone];
    }
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
  SetZones(config, roster);
  bool same_zones = previous != nullptr && previous->zones_ == zones_ && previous->host_ == host_;
  // Revision 0 stands for documents that tests build by hand.
  bool same_config =
      previous != nullptr && config.revision != 0 && previous->config_revision_ == config.revision;
  bool same_index = previous != nullptr && previous->parts_.size() == config.services.size();
  parts_.reserve(config.services.size());
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    const Service& service = config.services[i];
    const ServicePart* old = previous == nullptr ? nullptr : previous->FindPart(service.name);
    bool same_service = old != nullptr && (same_config || old->layout->service == service);
    same_index = same_index && same_service && previous->parts_[i].get() == old;
    bool keep = same_zones && same_service;
    std::shared_ptr<const Layout> layout = keep ? old->layout : MakeLayout(service);
    parts_.push_back(
        NextPart(std::move(layout), keep ? old : nullptr, previous ? *previous : *this));
  }
  if (same_index) {
    index_ = previous->index_;
    return;
  }
  auto index = std::make_shared<Index>();
  for (std::uint32_t part = 0; part < parts_.size(); ++part) {
    const Service& service = parts_[part]->layout->service;
    index->services.emplace(service.name, part);
    for (std::uint32_t i = 0; i < service.backends.size(); ++i) {
      index->backends.emplace(service.backends[i].name, Index::Entry{part, i});
    }
  }
  index_ = std::move(index);
}

std::shared_ptr<const Placement::Layout> Placement::MakeLayout(const Service& service) const {
  auto layout = std::make_shared<Layout>();
  layout->service = service;
  layout->hosted.resize(zones_.size());
  for (std::uint32_t i = 0; i < service.backends.size(); ++i) {
    auto zone = std::lower_bound(zones_.begin(), zones_.end(), service.backends[i].zone);
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

std::shared_ptr<const Placement::Cell> Placement::MakeCell(const Layout& layout,
                                                           std::size_t zone) const {
  const std::vector<NodeName>& nodes = seats_[zone]->nodes;
  if (nodes.empty()) return nullptr;
  std::vector<Ranked> ranking(nodes.size());
  std::uint64_t seed = Hash64(layout.service.name);
  for (std::uint32_t i = 0; i < nodes.size(); ++i) ranking[i] = {Hash64(nodes[i], seed), i};
  std::size_t size = GroupSize(layout, zone);
  std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(size),
                    ranking.end(), RanksBefore);
  auto cell = std::make_shared<Cell>();
  for (std::size_t i = 0; i < size; ++i) cell->group.push_back(nodes[ranking[i].position]);
  cell->last_weight = ranking[size - 1].weight;
  for (std::uint32_t backend : layout.hosted[zone]) {
    std::uint64_t key = Hash64(layout.service.backends[backend].name);
    Ranked first{0, std::numeric_limits<std::uint32_t>::max()};
    Ranked second = first;
    for (std::uint32_t i = 0; i < size; ++i) {
      Ranked candidate{Hash64(cell->group[i], key), i};
      if (RanksBefore(candidate, first)) {
        second = std::exchange(first, candidate);
      } else if (RanksBefore(candidate, second)) {
        second = candidate;
      }
    }
    cell->holders.push_back({first.position, size > 1 ? second.position : first.position});
  }
  return cell;
}

bool Placement::CellStands(const Cell& cell, const Layout& layout, std::size_t zone,
                           const std::vector<const NodeName*>& added,
                           const std::vector<const NodeName*>& removed) const {
  if (cell.group.size() != GroupSize(layout, zone)) return false;
  std::uint64_t seed = Hash64(layout.service.name);
  bool enters = std::any_of(added.begin(), added.end(), [&](const NodeName* node) {
    return Hash64(*node, seed) >= cell.last_weight;
  });
  return !enters && std::none_of(removed.begin(), removed.end(), [&](const NodeName* node) {
    return Hash64(*node, seed) >= cell.last_weight;
  });
}

std::shared_ptr<const Placement::ServicePart> Placement::NextPart(
    std::shared_ptr<const Layout> layout, const ServicePart* previous,
    const Placement& from) const {
  auto part = std::make_shared<ServicePart>();
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (previous == nullptr) {
      part->cells.push_back(MakeCell(*layout, zone));
      continue;
    }
    const std::vector<NodeName>& before = from.seats_[zone]->nodes;
    const std::vector<NodeName>& after = seats_[zone]->nodes;
    std::vector<const NodeName*> added;
    std::vector<const NodeName*> removed;
    auto old_it = before.begin();
    auto new_it = after.begin();
    while (old_it != before.end() || new_it != after.end()) {
      if (new_it == after.end() || (old_it != before.end() && *old_it < *new_it)) {
        removed.push_back(&*old_it++);
      } else if (old_it == before.end() || *new_it < *old_it) {
        added.push_back(&*new_it++);
      } else {
        ++old_it;
        ++new_it;
      }
    }
    const std::shared_ptr<const Cell>& cell = previous->cells[zone];
    bool stands =
        cell == nullptr ? after.empty() : CellStands(*cell, *layout, zone, added, removed);
    part->cells.push_back(stands ? cell : MakeCell(*layout, zone));
  }
  part->layout = std::move(layout);
  return part;
}

const Placement::ServicePart* Placement::FindPart(const ServiceName& service) const {
  auto it = index_->services.find(service);
  return it == index_->services.end() ? nullptr : parts_[it->second].get();
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
  auto it = index_->backends.find(backend);
  if (it == index_->backends.end()) return std::nullopt;
  const ServicePart& part = *parts_[it->second.part];
  Location where = part.layout->where[it->second.backend];
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
  auto it = index_->backends.find(backend);
  if (it == index_->backends.end()) return nullptr;
  return &parts_[it->second.part]->layout->service.backends[it->second.backend];
}

const Service* Placement::ServiceOf(const BackendName& backend) const {
  auto it = index_->backends.find(backend);
  return it == index_->backends.end() ? nullptr : &parts_[it->second.part]->layout->service;
}

}  // namespace damaskroute
