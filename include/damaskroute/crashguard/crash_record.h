#ifndef DAMASKROUTE_CRASHGUARD_CRASH_RECORD_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// A connection to a backend server that was lost while the server ran a request.
struct CrashLoss {
  std::uint64_t id = 0;           ///< Tells apart the losses that nodes report.
  std::uint64_t incarnation = 0;  ///< Hash of the backend server and its boot id.
  TimePoint sent;                 ///< When the call began.
  TimePoint lost;
  bool survived = false;  ///< The incarnation answered a later call, so it has not crashed.
};

/// What is known about a request that may crash backend servers. Nodes merge their records; the
/// result does not depend on the order of merges, nor on records that are merged repeatedly.
struct CrashRecord {
  /// Limit of the losses per record. Above the numbers that block a request, because nodes that
  /// have not heard of each other's losses add their own, and any of them may turn out to be
  /// survived.
  static constexpr std::size_t kMaxLosses = 32;

  std::uint64_t request = 0;  ///< Hash of the request.
  TimePoint answered;         ///< Latest known time of an answer by a backend server.
  std::vector<CrashLoss> losses;

  /// Adds a loss, or merges it with the known one of the same id. Returns whether it adds
  /// knowledge. A full record takes a loss in place of one that does not count, or if it adds to
  /// the successive losses.
  bool Add(const CrashLoss& loss);

  /// Adds the knowledge of another record of the same request. Returns whether it adds any.
  bool Merge(const CrashRecord& other);

  /// Records an answer. Returns whether it invalidates losses.
  bool OnAnswered(TimePoint at);

  /// Whether a loss may be a crash: its incarnation has not survived it, and the request has not
  /// been answered since.
  bool Counts(const CrashLoss& loss) const { return !loss.survived && loss.lost > answered; }

  /// Losses less than this apart have a common cause, such as a zone without power or a service
  /// that lost all its servers: several times the differences of network delays.
  static constexpr std::chrono::milliseconds kCommonCauseTime{200};

  /// Number of incarnations that were lost and may have crashed.
  std::size_t CountLosses() const;

  /// The same, with a loss counted only if its call began `kCommonCauseTime` after the previous
  /// one: servers are lost together, and a popular request runs on several of them.
  std::size_t CountSuccessiveLosses() const;

  /// Latest loss that may be a crash; `TimePoint::min()` without any.
  TimePoint LastLoss() const;

  /// Whether this record has knowledge that `other` lacks.
  bool KnowsMoreThan(const CrashRecord& other) const;

 private:
  bool Replace(const CrashLoss& loss);
  std::vector<const CrashLoss*> SuccessiveLosses() const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_RECORD_H_
