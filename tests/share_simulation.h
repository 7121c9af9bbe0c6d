#ifndef DAMASKROUTE_TESTS_SHARE_SIMULATION_H_
#define DAMASKROUTE_TESTS_SHARE_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/shares/share_table.h"

namespace damaskroute {

/// Simulates several nodes, the roster in the store and a network that retains every message, so
/// that any message may be lost, delayed, duplicated and reordered. A node without events is
/// paused. Time is abstract: any timer may fire at any moment, and on a restarted node the duration
/// of the longest call may elapse once the calls of its earlier processes have ended.
///
/// Node states, rosters and messages are interned as numbers, and each transition of a node state
/// is computed once.
class ShareSimulation {
 public:
  struct Limits {
    int changes = 3;           ///< Joins, leaves, crashes, removals, configuration changes.
    std::uint64_t claims = 2;  ///< Growth of the epoch counter.
    bool both_halves = true;   ///< If false, all messages about second halves are lost.
    bool may_configure = false;
  };
  enum class Kind : std::uint8_t {
    kJoin,
    kCrash,
    kRemove,
    kLeave,
    kLeft,
    kOrphansEnd,
    kConfigure,
    kReceiveRoster,
    kReceiveConfig,
    kPredecessorEnded,
    kTick,
    kStart,
    kEnd,
    kDeliver
  };
  struct Event {
    Kind kind;
    int node = 0;
    int value = 0;  ///< Roster position, backend server or message number.
  };

  /// The configurations have revisions 1 and 2. The nodes have names `a`, `b`, ...
  ShareSimulation(std::vector<ConfigDocument> configs, int nodes, Limits limits);

  /// Returns the events that are possible now.
  std::vector<Event> Events() const;
  void Apply(const Event& event);

  /// Starts the process of a node: adds or replaces its roster entry.
  void Join(int node);
  /// Removes the roster entries of ended processes, then delivers all messages and fires all timers
  /// without loss. For setup and liveness checks. Returns the slots of a backend server, or -1 if
  /// no node is left to use them.
  int RunUntilStable();
  void ResetBudget(Limits limits);

  /// Describes a backend server whose limit may be exceeded; empty if there is none.
  std::string Violation() const;
  /// Sum of the slots that running nodes may use.
  int UsableSlots(const BackendName& backend) const;
  /// Returns a unique key of the state.
  std::string Key() const;
  std::string Describe() const;

 private:
  struct Node;
  struct Tables;
  struct Outcome {
    int node = 0;
    std::vector<int> sent;
  };
  using Step = std::function<ShareTable::Actions(Node&)>;

  const Node& At(int node) const;
  void Run(int node, std::uint64_t code, const Step& step);
  const Outcome& Compute(int id, std::uint64_t code, const Step& step) const;
  const Outcome& Delivery(int number) const;
  void Execute(Node& state, const ShareTable::Actions& actions, std::vector<int>& sent) const;
  void ReceivePlacement(int node, int roster, int config);
  void WriteRoster(const std::function<void(Roster&)>& edit);
  void Remove(int node);
  void DropObsoleteMessages();
  bool IsObsolete(int number) const;
  bool HasNoEffect(int number) const;
  bool IsInRoster(int node) const;
  bool HasOrphans(int node) const;

  std::shared_ptr<Tables> tables_;  // Shared between copies.
  Limits limits_;
  int changes_ = 0;
  int config_ = 0;                         // In the store.
  std::vector<int> rosters_;               // All revisions; the last one is in the store.
  std::vector<int> nodes_;                 // Node state number; -1 if no process runs.
  std::vector<std::vector<int>> orphans_;  // Running calls of ended processes, by node.
  Incarnation next_incarnation_ = 1;
  std::set<int> messages_;
  std::uint64_t first_counter_ = 0;
  std::uint64_t counter_ = 0;  // Greatest epoch counter that was sent.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_SHARE_SIMULATION_H_
