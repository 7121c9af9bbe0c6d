#ifndef DAMASKROUTE_SHARES_WARMTH_TRACKER_H_
#define DAMASKROUTE_SHARES_WARMTH_TRACKER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "damaskroute/core/time.h"
#include "damaskroute/placement/share.h"
#include "damaskroute/shares/warm_grant.h"
#include "damaskroute/shares/warmth_evidence.h"
#include "damaskroute/shares/warmth_options.h"

namespace damaskroute {

/// Decides how many calls a holder may have running on one backend server with regard to cold
/// start. Belongs to the event loop of the backend channel; not thread-safe.
///
/// The first holder starts at the cold limit, and goes up to its share by warm answers. The second
/// holder starts nothing without a grant. Contrary evidence returns either to its start at once;
/// calls that run then may end.
class WarmthTracker {
 public:
  explicit WarmthTracker(WarmthOptions options)
      : options_(std::move(options)), nonce_(options_.first_nonce) {}

  /// Share from `SetLimit`. A second holder with a valid grant that becomes the first holder
  /// stays warm.
  void SetShare(const Share& share, TimePoint now);

  /// A new call may start while fewer calls than this run.
  int Allowed(TimePoint now) const;

  /// Answer to a call.
  void OnAnswer(const WarmthEvidence& evidence, TimePoint now);

  /// Contrary evidence without an answer: the zone or the backend server returned to service, a
  /// connection could not be opened or broke during a call (the backend server may have
  /// restarted).
  void OnContrary(TimePoint now);

  /// Query of the second holder; the grant to send, if any.
  std::optional<WarmGrant> OnQuery(const WarmQuery& query, TimePoint now);

  /// Grant of the first holder.
  void OnGrant(const WarmGrant& grant, TimePoint now);

  /// Query to send to the first holder, if one is due. To be called every `query_period`.
  std::optional<WarmQuery> OnTimer(TimePoint now);

  /// Whether the whole share may be used.
  bool Warm(TimePoint now) const;

  /// Boot id of the last answer or grant, 0 if there was none.
  BootId boot_id() const { return boot_id_; }

 private:
  bool IsSecond() const { return !share_.first; }
  int Start() const;
  bool Stale(TimePoint now) const { return now > last_warm_ + options_.stale; }
  void Restart(TimePoint now);
  bool SlowRun(Duration latency);
  void Advance(TimePoint now);

  WarmthOptions options_;
  Share share_;
  BootId boot_id_ = 0;
  TimePoint cold_since_;  // Last contrary evidence, or start of the share; older calls are ignored.
  std::optional<TimePoint> first_answer_;  // Since then.
  TimePoint last_warm_;                    // Start of the last call with a warm answer.
  bool ramping_ = false;  // The cold state has ended; for the second holder: granted.
  int successes_ = 0;     // Warm answers since the last step.
  int allowed_ = 0;       // While ramping.
  BootId granted_boot_ = 0;
  TimePoint valid_until_;  // Of the second holder's grant.
  TimePoint query_sent_;
  std::uint64_t nonce_;
  std::uint64_t contrary_ = 0;       // Own contrary evidence, as second holder.
  std::uint64_t seen_contrary_ = 0;  // Reported by the second holder.
  std::optional<Duration> usual_latency_;
  int slow_answers_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_TRACKER_H_
