#include "damaskroute/placement/placement.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

ConfigDocument MakeConfig(int zones, int services, int backends_per_service) {
  ConfigDocument config;
  config.revision = 1;
  for (int i = 0; i < zones; ++i) config.zones.push_back({fmt::format("zone-{}", i), "r", {}});
  for (int s = 0; s < services; ++s) {
    Service service;
    service.name = fmt::format("service-{}", s);
    for (int i = 0; i < backends_per_service; ++i) {
      BackendServer backend;
      backend.name = fmt::format("backend-{}-{}", s, i);
      backend.zone = config.zones[(s + i) % zones].name;
      backend.slots = 1 + (s + i) % 5;
      backend.connections = 30 + (s + i) % 7;
      service.backends.push_back(backend);
    }
    config.services.push_back(service);
  }
  return config;
}

Roster MakeRoster(int zones, int node_entries) {
  Roster roster{1, {}};
  for (int i = 0; i < node_entries; ++i) {
    roster.node_entries.push_back(
        {fmt::format("node-{:05}", i), fmt::format("zone-{}", i % zones), {}, 1, false});
  }
  return roster;
}

// Checks the limits of every backend server and returns the backend servers held per node.
std::map<NodeName, int> CheckLimits(const ConfigDocument& config, const Roster& roster,
                                    const Placement& placement) {
  std::map<NodeName, int> held;
  int wrong = 0;
  for (const Service& service : config.services) {
    for (const BackendServer& backend : service.backends) {
      std::optional<Holders> holders = placement.HoldersOf(backend.name);
      if (!holders) {
        ++wrong;
        continue;
      }
      ++held[holders->first];
      if (holders->second) ++held[*holders->second];
      Share first = placement.ShareOf(holders->first, backend.name);
      Share second = holders->second ? placement.ShareOf(*holders->second, backend.name) : Share{};
      wrong += first.slots + second.slots != backend.slots;
      wrong += first.connections + second.connections != backend.connections;
      wrong += second.cold_slots != 0 || second.first || first.cold_slots > backend.cold_slots;
      wrong += roster.Find(holders->first)->zone != backend.zone;
    }
  }
  CHECK(wrong == 0);
  return held;
}

bool Equal(const ConfigDocument& config, const Placement& a, const Placement& b) {
  for (const Service& service : config.services) {
    if (a.Groups(service.name) != b.Groups(service.name)) return false;
    for (const BackendServer& backend : service.backends) {
      if (a.HoldersOf(backend.name) != b.HoldersOf(backend.name)) return false;
      const BackendServer* found = a.FindBackend(backend.name);
      if (found == nullptr || !(*found == backend)) return false;
    }
  }
  return true;
}

TEST_CASE("at the target size the load is balanced and the shares of every limit add up exactly") {
  ConfigDocument config = MakeConfig(5, 82, 440);
  Roster roster = MakeRoster(5, 7600);
  Placement placement(config, roster);
  std::map<NodeName, int> held = CheckLimits(config, roster, placement);
  int total = 0;
  int max_held = 0;
  for (const auto& [node, count] : held) {
    total += count;
    max_held = std::max(max_held, count);
  }
  std::size_t coordinators = placement.CoordinatorsOf("service-0").size();
  MESSAGE("backend servers held per node: mean ", total / 7600.0, ", max ", max_held,
          ", nodes without ", 7600 - held.size(), "; coordinators of a service: ", coordinators);
  CHECK(coordinators == 95);

  // Without bounded load the maximum is 74 and 2,707 nodes have none.
  CHECK(max_held <= 30);
  CHECK(held.size() == 7600);

  // Joins and leaves move few holders, and the incremental result equals the full one.
  int moved_total = 0;
  int max_moved = 0;
  for (int i = 0; i < 20; ++i) {
    Roster changed = roster;
    changed.revision = 2;
    if (i % 2 == 0) {
      changed.node_entries.push_back({fmt::format("node-{}", 90000 + i), "zone-2", {}, 1, false});
    } else {
      changed.node_entries.erase(changed.node_entries.begin() + i * 379);
    }
    Placement next = placement.Next(config, changed);
    if (i < 4) CHECK(Equal(config, next, Placement(config, changed)));
    int moved = 0;
    for (const Service& service : config.services) {
      for (const BackendServer& backend : service.backends) {
        moved += placement.HoldersOf(backend.name) != next.HoldersOf(backend.name);
      }
    }
    moved_total += moved;
    max_moved = std::max(max_moved, moved);
  }
  MESSAGE("backend servers of 36,080 with another holder after one join or leave: mean ",
          moved_total / 20.0, ", max ", max_moved);
  // The 9.5 backend servers of one node, times the chain of replacements in later services.
  CHECK(max_moved <= 400);
}

TEST_CASE("four nodes in three zones are in every group, so nothing is forwarded") {
  ConfigDocument config = MakeConfig(3, 50, 2);
  Roster roster = MakeRoster(3, 4);
  Placement placement(config, roster);
  CheckLimits(config, roster, placement);
  for (const Service& service : config.services) {
    CHECK(placement.CoordinatorsOf(service.name).size() == 4);
    for (const RosterEntry& entry : roster.node_entries) {
      CHECK(placement.IsCoordinator(entry.node, service.name));
    }
  }
}

TEST_CASE("backend servers of a zone without nodes are held in the next zone that has one") {
  ConfigDocument config = MakeConfig(3, 4, 6);
  Roster roster{1, {{"a", "zone-0", {}, 1, false}, {"b", "zone-1", {}, 1, true}}};
  Placement placement(config, roster);
  for (const Service& service : config.services) {
    for (const BackendServer& backend : service.backends) {
      CHECK(placement.HoldersOf(backend.name) == Holders{"a", std::nullopt});
    }
  }
  CHECK(placement.BackendsHeldBy("a").size() == 24);
  CHECK(placement.BackendsHeldBy("b").empty());
  CHECK_FALSE(Placement(config, Roster{}).HoldersOf("backend-0-0").has_value());
}

TEST_CASE("incremental updates always equal a full computation") {
  Random random(1);
  for (int run = 0; run < 20; ++run) {
    ConfigDocument config = MakeConfig(3, 5, 11);
    Roster roster{1, {}};
    Placement placement(config, roster);
    for (int step = 0; step < 40; ++step) {
      auto index = static_cast<int>(random.Below(8));
      RosterEntry entry{
          fmt::format("node-{}", index), fmt::format("zone-{}", index % 4), {}, 1, false};
      auto it = std::lower_bound(
          roster.node_entries.begin(), roster.node_entries.end(), entry,
          [](const RosterEntry& a, const RosterEntry& b) { return a.node < b.node; });
      if (random.Below(4) == 0) {
        ++config.revision;
        Service& service = config.services[random.Below(config.services.size())];
        BackendServer added;
        added.name = fmt::format("added-{}", config.revision);
        added.zone = config.zones[random.Below(config.zones.size())].name;
        switch (random.Below(6)) {
          case 0:
            std::swap(config.services.front(), service);
            break;
          case 1:
            service.backends.insert(service.backends.begin(), added);
            break;
          case 2:  // Moves to another service.
            if (service.backends.empty()) break;
            config.services.back().backends.push_back(service.backends.front());
            service.backends.erase(service.backends.begin());
            break;
          case 3:
            config.services.push_back({added.name, "c", {}, {added}});
            break;
          case 4:
            if (!service.backends.empty()) service.backends.front().slots += 1;
            break;
          default:
            if (!service.backends.empty()) service.backends.pop_back();
        }
      } else if (it != roster.node_entries.end() && it->node == entry.node) {
        ++roster.revision;
        if (random.Below(2) == 0) {
          roster.node_entries.erase(it);
        } else {
          it->leaving = !it->leaving;
        }
      } else {
        ++roster.revision;
        roster.node_entries.insert(it, entry);
      }
      placement = placement.Next(config, roster);
      REQUIRE(Equal(config, placement, Placement(config, roster)));
    }
  }
}

}  // namespace
}  // namespace damaskroute
