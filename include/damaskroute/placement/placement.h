#ifndef DAMASKROUTE_PLACEMENT_PLACEMENT_H_
#define DAMASKROUTE_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskroute/config/config_document.h"
#include "damaskroute/placement/group.h"
#include "damaskroute/placement/holders.h"
#include "damaskroute/placement/share.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Assigns groups of nodes to services and holders to backend servers by rendezvous hashing with
/// bounded load. A pure function of configuration and roster, so all nodes compute the same result.
/// Leaving nodes are excluded. Immutable; copies share their data.
///
/// In each zone, services are processed by name. Each takes the nodes that are in the fewest groups
/// so far, and among these the ones with the greatest weight. Plain rendezvous hashing left 2,707
/// of 7,600 nodes without a group and gave one node 74 backend servers at a mean of 9.5
/// (tests/placement_test.cc, target size).
class Placement {
 public:
  /// Backend servers per group member: 36,000 backend servers / 7,600 nodes at the target size.
  static constexpr double kDefaultBackendsPerNode = 4.7;

  Placement();

  /// Computes a full placement. `backends_per_node` below 1 is treated as 1.
  Placement(const ConfigDocument& config, const Roster& roster,
            double backends_per_node = kDefaultBackendsPerNode);

  /// Returns the same result as a full `Placement` of the arguments, but recomputes only the groups
  /// that changed. benchmark/placement_cost.cc measures both.
  Placement Next(const ConfigDocument& config, const Roster& roster) const;

  Revision config_revision() const { return config_revision_; }
  Revision roster_revision() const { return roster_revision_; }

  /// Groups of the service, one per zone with a node, ordered by zone name; empty if unknown.
  std::vector<Group> Groups(const ServiceName& service) const;

  /// Members of all groups of the service, without duplicates, ordered by zone name.
  std::vector<NodeName> CoordinatorsOf(const ServiceName& service) const;

  /// Whether the node is a member of a group of the service.
  bool IsCoordinator(const NodeName& node, const ServiceName& service) const;

  /// Services that the node coordinates.
  std::vector<ServiceName> ServicesCoordinatedBy(const NodeName& node) const;

  /// Holders of the backend server; nullopt if it is unknown or the roster has no node.
  std::optional<Holders> HoldersOf(const BackendName& backend) const;

  /// Backend servers of which the node is the first or second holder.
  std::vector<BackendName> BackendsHeldBy(const NodeName& node) const;

  /// Share of the node by this placement; zero if it is not a holder.
  Share ShareOf(const NodeName& node, const BackendName& backend) const;

  /// Declaration of the backend server, or nullptr. Valid as long as this placement.
  const BackendServer* FindBackend(const BackendName& backend) const;

  /// Service of the backend server, or nullptr. Valid as long as this placement.
  const Service* ServiceOf(const BackendName& backend) const;

 private:
  struct Layout;
  struct ZoneAssignment;
  struct ServicePlacement;
  struct Index;
  struct ZoneNodes;
  struct Location;

  // Previous placement of a service, or null, and whether its declaration is unchanged.
  struct PreviousService {
    const ServicePlacement* placement = nullptr;
    bool unchanged = false;
  };
  using PreviousServices = std::vector<PreviousService>;
  using Layouts = std::vector<std::shared_ptr<const Layout>>;

  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const;
  };

  void Build(const ConfigDocument& config, const Roster& roster, const Placement* previous);
  void SetZones(const ConfigDocument& config, const Roster& roster,
                const PreviousServices& previous_services, const Placement* previous);
  std::shared_ptr<const Layout> MakeLayout(const Service& service) const;
  std::size_t GroupSize(const Layout& layout, std::size_t zone) const;
  // Returns the groups of all services in the zone, parallel to `layouts`, each by descending
  // weight.
  std::vector<std::vector<NodeName>> ChooseGroups(const Layouts& layouts, std::size_t zone) const;
  bool SameGroups(const Layouts& layouts, std::size_t zone, const Placement& previous) const;
  static std::shared_ptr<const ZoneAssignment> AssignHolders(const Layout& layout, std::size_t zone,
                                                             std::vector<NodeName> group);
  void BuildIndex(const Placement* previous);
  const ServicePlacement* FindService(const ServiceName& service) const;
  std::optional<std::size_t> ZoneOfNode(const NodeName& node) const;

  double backends_per_node_ = kDefaultBackendsPerNode;
  Revision config_revision_ = 0;
  Revision roster_revision_ = 0;
  std::vector<ZoneName> zones_;                               // Sorted.
  std::vector<std::size_t> host_zones_;                       // By zone: zone whose nodes serve it.
  std::vector<std::shared_ptr<const ZoneNodes>> zone_nodes_;  // By zone.
  std::vector<std::shared_ptr<const ServicePlacement>> services_;
  std::shared_ptr<const Index> index_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PLACEMENT_PLACEMENT_H_
