#ifndef DAMASKROUTE_CRASHGUARD_CRASH_ARCHIVE_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_ARCHIVE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/blocked_request.h"

namespace damaskroute {

/// Decides which crash records a node writes to the store, where they survive the loss of all
/// nodes. Only records of blocked requests are written, as calls to the store are priced and the
/// others are frequent, and only by the nodes that have seen one of the losses. A node that knows a
/// record to be in the store does not write it again, so that a record read after a restart, whose
/// age is not known exactly, is not renewed without end.
class CrashArchive {
 public:
  /// Limit of the records that a node considers, about 1.5 KB each.
  static constexpr std::size_t kMaxRecords = 64;

  /// Backoff after the first failed write; doubled with each further one, up to `kMaxRetryDelay`.
  static constexpr std::chrono::milliseconds kRetryDelay{1000};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{30'000};

  explicit CrashArchive(std::uint64_t seed) : random_(seed) {}

  /// The store has the record of a request.
  void OnStored(std::uint64_t request);

  /// A write of a record failed.
  void OnFailure(TimePoint now);

  /// What to do now.
  struct Step {
    std::optional<CrashRecord> write;
    TimePoint next = TimePoint::max();  ///< When to call `Next` again at the latest.
  };

  /// To be called after each event. `blocked`: at most `kMaxRecords` blocked requests.
  Step Next(const std::vector<BlockedRequest>& blocked, TimePoint now);

 private:
  Random random_;
  std::set<std::uint64_t> stored_;
  int failures_ = 0;  // Consecutive ones.
  TimePoint retry_at_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_ARCHIVE_H_
