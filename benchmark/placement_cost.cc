// Measures how the time to build and to update the placement, and its memory, grow with the number
// of nodes, at 4.7 backend servers per node in 5 zones and services of 440 backend servers.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <vector>

#include "damaskroute/placement/placement.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

ConfigDocument MakeConfig(int backends) {
  ConfigDocument config;
  config.revision = 1;
  for (int i = 0; i < 5; ++i) config.zones.push_back({fmt::format("zone-{}", i), "r", {}});
  for (int i = 0; i < backends; ++i) {
    if (i % 440 == 0) {
      config.services.emplace_back();
      config.services.back().name = fmt::format("service-{}", i / 440);
    }
    BackendServer backend;
    backend.name = fmt::format("backend-{}", i);
    backend.zone = config.zones[i % 5].name;
    backend.endpoint = {"127.0.0.1", 9000};
    config.services.back().backends.push_back(std::move(backend));
  }
  return config;
}

Roster MakeRoster(int node_count) {
  Roster roster{1, {}};
  for (int i = 0; i < node_count; ++i) {
    RosterEntry entry{fmt::format("node-{:05}", i), fmt::format("zone-{}", i % 5), {}, 1, false};
    roster.node_entries.push_back(std::move(entry));
  }
  return roster;
}

// Returns the median duration of `runs` calls of `run` in milliseconds.
double MedianMs(int runs, const std::function<void(int)>& run) {
  std::vector<double> times;
  for (int i = 0; i < runs; ++i) {
    auto start = std::chrono::steady_clock::now();
    run(i);
    std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  std::nth_element(times.begin(), times.begin() + runs / 2, times.end());
  return times[runs / 2];
}

double HeapMegabytes() { return static_cast<double>(mallinfo2().uordblks) / (1 << 20); }

// Fits y = a * x^b by least squares on the logarithms and returns b.
double FitExponent(const std::vector<double>& x, const std::vector<double>& y) {
  double n = static_cast<double>(x.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    double lx = std::log(x[i]);
    double ly = std::log(y[i]);
    sx += lx;
    sy += ly;
    sxx += lx * lx;
    sxy += lx * ly;
  }
  return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

void Run() {
  std::vector<double> node_counts;
  std::vector<double> builds;
  std::vector<double> changes;
  std::vector<double> config_changes;
  std::vector<double> memory;
  fmt::print("seats backends build_ms roster_change_ms config_change_ms memory_mb\n");
  for (int count : {100, 400, 1600, 7600}) {
    int backends = static_cast<int>(count * 4.7);
    ConfigDocument config = MakeConfig(backends);
    Roster roster = MakeRoster(count);
    double before = HeapMegabytes();
    Placement placement(config, roster);
    memory.push_back(HeapMegabytes() - before);
    builds.push_back(MedianMs(9, [&](int) { Placement(config, roster); }));
    std::vector<Roster> rosters;
    for (int i = 0; i < 21; ++i) {
      rosters.push_back(roster);
      rosters.back().revision = 2 + i;
      rosters.back().node_entries.erase(rosters.back().node_entries.begin() + i * count / 21);
    }
    changes.push_back(MedianMs(21, [&](int i) { placement.Next(config, rosters[i]); }));
    ConfigDocument changed = config;
    changed.revision = 2;
    changed.services[0].backends.pop_back();
    config_changes.push_back(MedianMs(21, [&](int) { placement.Next(changed, roster); }));
    node_counts.push_back(count);
    fmt::print("{} {} {:.2f} {:.2f} {:.2f} {:.2f}\n", count, backends, builds.back(),
               changes.back(), config_changes.back(), memory.back());
  }
  fmt::print(
      "exponent of the number of nodes: build {:.2f}, roster change {:.2f}, config change "
      "{:.2f}, memory {:.2f}\n",
      FitExponent(node_counts, builds), FitExponent(node_counts, changes),
      FitExponent(node_counts, config_changes), FitExponent(node_counts, memory));
  // A restart changes the roster three times (leaving, removed, added), at 0.2 restarts/s.
  double load = 0.6 * changes.back() + 0.35 * config_changes.back();
  fmt::print("at 7,600 nodes, 0.6 roster and 0.35 configuration changes/s: {:.2f}% of a core\n",
             load / 10);
}

}  // namespace
}  // namespace damaskroute

int main() {
  damaskroute::Run();
  return EXIT_SUCCESS;
}
