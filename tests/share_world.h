#ifndef DAMASKROUTE_TESTS_SHARE_WORLD_H_
#define DAMASKROUTE_TESTS_SHARE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "damaskroute/shares/share_table.h"

namespace damaskroute {

/// Some nodes, the store's roster and a network that keeps each message for ever, so that any
/// message may be lost, delivered late, several times and in any order. A node that gets no event
/// is paused. Times are abstracted: each timer may fire at any moment, and a restarted node may
/// reach the end of its predecessor's longest call once these calls have ended.
///
/// Node states, rosters and messages are numbered, and each step of a node state is computed once.
class ShareWorld {
 public:
  struct Limits {
    int changes = 3;           ///< Joins, leaves, crashes, removals, configuration changes.
    std::uint64_t claims = 2;  ///< Growth of the epoch counter.
    bool both_halves = true;   ///< Otherwise all messages about second halves are lost.
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
    kLearn,
    kLearnConfig,
    kLate,
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
  ShareWorld(std::vector<ConfigDocument> configs, int nodes, Limits limits);

  /// Events that are possible now.
  std::vector<Event> Events() const;
  void Apply(const Event& event);

  /// Starts the process of a node: adds or renews its seat.
  void Join(int node);
  /// Delivers all messages and fires all timers without loss, after the seats of ended processes
  /// were removed; for setup and liveness. Returns the slots of a backend server, or -1 if no node
  /// is left to use them.
  int Settle();
  void ResetBudget(Limits limits);

  /// Name of a backend server whose limit may be exceeded, or an empty string.
  std::string Violation() const;
  /// Sum of the slots that running nodes may use.
  int UsableSlots(const BackendName& backend) const;
  /// Identifies the state.
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
  void Learn(int node, int roster, int config);
  void WriteRoster(const std::function<void(Roster&)>& edit);
  void Remove(int node);
  void DropSpentMessages();
  bool Spent(int number) const;
  bool NoEffect(int number) const;
  bool HasSeat(int node) const;
  bool HasOrphans(int node) const;

  std::shared_ptr<Tables> tables_;  // Shared by copies.
  Limits limits_;
  int changes_ = 0;
  int config_ = 0;                         // In the store.
  std::vector<int> rosters_;               // All revisions; the last is the store's.
  std::vector<int> nodes_;                 // Number of the node state; -1 if no process runs.
  std::vector<std::vector<int>> orphans_;  // Calls of ended processes, by node.
  Incarnation next_incarnation_ = 1;
  std::set<int> messages_;
  std::uint64_t first_counter_ = 0;
  std::uint64_t counter_ = 0;  // Greatest epoch counter that was sent.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_TESTS_SHARE_WORLD_H_
