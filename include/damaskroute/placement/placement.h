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
/// bounded load. A pure function of configuration and roster, equal on all nodes. Seats that are
/// leaving take no part. Immutable; copies share their parts.
///
/// In each zone, services choose in the order of their names the seats that are in the fewest
/// groups so far, and among these the ones of greatest weight. Plain rendezvous hashing left 2,707
/// of 7,600 seats without a group and gave one seat 74 backend servers at a mean of 9.5
/// (tests/placement_test.cc, target size).
class Placement {
 public:
  /// Backend servers per group member; 36,000 backend servers / 7,600 nodes at the target size.
  static constexpr double kDefaultBackendsPerNode = 4.7;

  Placement();

  /// Computes everything. `backends_per_node` below 1 counts as 1.
  Placement(const ConfigDocument& config, const Roster& roster,
            double backends_per_node = kDefaultBackendsPerNode);

  /// Same result as a new `Placement` of the arguments. Computes only the groups that the
  /// difference to this one touches; benchmark/placement_cost.cc measures both.
  Placement Next(const ConfigDocument& config, const Roster& roster) const;

  Revision config_revision() const { return config_revision_; }
  Revision roster_revision() const { return roster_revision_; }

  /// Groups of the service, one for each zone with a seat, by zone name; empty if unknown.
  std::vector<Group> Groups(const ServiceName& service) const;

  /// Members of all groups of the service, without duplicates, by zone name.
  std::vector<NodeName> CoordinatorsOf(const ServiceName& service) const;

  /// Whether the node is a member of a group of the service.
  bool IsCoordinator(const NodeName& node, const ServiceName& service) const;

  /// Services that the node coordinates.
  std::vector<ServiceName> ServicesCoordinatedBy(const NodeName& node) const;

  /// Holders of the backend server; nullopt if it is unknown or the roster has no seat.
  std::optional<Holders> HoldersOf(const BackendName& backend) const;

  /// Backend servers of which the node is first or second holder.
  std::vector<BackendName> BackendsHeldBy(const NodeName& node) const;

  /// Static share of the node; zero if it is not a holder.
  Share ShareOf(const NodeName& node, const BackendName& backend) const;

  /// Declaration of the backend server, or nullptr. Valid as long as this placement.
  const BackendServer* FindBackend(const BackendName& backend) const;

  /// Service of the backend server, or nullptr. Valid as long as this placement.
  const Service* ServiceOf(const BackendName& backend) const;

 private:
  struct Layout;
  struct Cell;
  struct ServicePart;
  struct Index;
  struct ZoneSeats;
  struct Location;

  // Part of a service in the previous placement, or null, and whether its declaration is the same.
  struct OldPart {
    const ServicePart* part = nullptr;
    bool unchanged = false;
  };
  using OldParts = std::vector<OldPart>;
  using Layouts = std::vector<std::shared_ptr<const Layout>>;

  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const;
  };

  void Build(const ConfigDocument& config, const Roster& roster, const Placement* previous);
  void SetZones(const ConfigDocument& config, const Roster& roster, const OldParts& old_parts,
                const Placement* previous);
  std::shared_ptr<const Layout> MakeLayout(const Service& service) const;
  std::size_t GroupSize(const Layout& layout, std::size_t zone) const;
  /// Groups of all services in the zone, parallel to `layouts`, members by descending weight.
  std::vector<std::vector<NodeName>> ChooseGroups(const Layouts& layouts, std::size_t zone) const;
  bool SameGroups(const Layouts& layouts, std::size_t zone, const Placement& previous) const;
  static std::shared_ptr<const Cell> MakeCell(const Layout& layout, std::size_t zone,
                                              std::vector<NodeName> group);
  void SetIndex(const Placement* previous);
  const ServicePart* FindPart(const ServiceName& service) const;
  std::optional<std::size_t> ZoneOfSeat(const NodeName& node) const;

  double backends_per_node_ = kDefaultBackendsPerNode;
  Revision config_revision_ = 0;
  Revision roster_revision_ = 0;
  std::vector<ZoneName> zones_;                          // Sorted.
  std::vector<std::size_t> host_;                        // Zone whose seats serve a zone.
  std::vector<std::shared_ptr<const ZoneSeats>> seats_;  // By zone.
  std::vector<std::shared_ptr<const ServicePart>> parts_;
  std::shared_ptr<const Index> index_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PLACEMENT_PLACEMENT_H_
