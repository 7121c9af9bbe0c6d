#ifndef DAMASKROUTE_SHARES_WARMTH_TRACKER_H_
#define DAMASKROUTE_SHARES_WARMTH_TRACKER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "damaskroute/core/time.h"
#include "damaskroute/placement/share.h"
#include "damaskroute/shares/warm_grant.h"
#include "damaskroute/shares/warmth_observation.h"
#include "damaskroute/shares/warmth_options.h"

namespace damaskroute {

/// Limits the number of calls of a holder that run on one backend server during its cold start. Not
/// thread-safe; used by the event loop of the backend channel.
///
/// The first holder starts at the cold limit and ramps up to its share with warm answers. The
/// second holder sends no calls without a grant of the first. An observation that the backend
/// server is cold resets either holder to its initial limit at once; calls that are already running
/// may finish.
class WarmthTracker {
 public:
  explicit WarmthTracker(WarmthOptions options)
      : options_(std::move(options)), nonce_(options_.first_nonce) {}

  /// Applies the share of a `SetLimit`. A second holder with a valid grant that becomes the first
  /// holder stays warm.
  void SetShare(const Share& share, TimePoint now);

  /// Maximum number of running calls.
  int CallLimit(TimePoint now) const;

  /// Records the answer to a call.
  void OnAnswer(const WarmthObservation& observation, TimePoint now);

  /// Records an observation without an answer that the backend server may be cold: the zone or the
  /// backend server returned to service, or a connection could not be opened or broke during a
  /// call, so the backend server may have restarted.
  void OnColdObservation(TimePoint now);

  /// Handles a query of the second holder. Returns the grant to send, if any.
  std::optional<WarmGrant> OnQuery(const WarmQuery& query, TimePoint now);

  /// Handles a grant of the first holder.
  void OnGrant(const WarmGrant& grant, TimePoint now);

  /// Returns the query to send to the first holder if one is due. Call every `query_period`.
  std::optional<WarmQuery> OnTimer(TimePoint now);

  /// Whether the whole share may be used.
  bool IsWarm(TimePoint now) const;

  /// Boot id of the last answer or grant, 0 if there was none.
  BootId boot_id() const { return boot_id_; }

 private:
  bool IsSecondHolder() const { return !share_.first; }
  int InitialLimit() const;
  bool IsStale(TimePoint now) const { return now > last_warm_ + options_.stale_after; }
  void ResetToCold(TimePoint now);
  bool DetectSlowRun(Duration latency);
  void RampUp(TimePoint now);

  WarmthOptions options_;
  Share share_;
  BootId boot_id_ = 0;
  TimePoint cold_since_;  // Last cold observation or start of the share. Older calls are ignored.
  std::optional<TimePoint> first_answer_;  // Since `cold_since_`.
  TimePoint last_warm_;                    // When the last call with a warm answer was sent.
  bool ramping_ = false;  // The cold state has ended. For the second holder: has a grant.
  int warm_answers_ = 0;  // Number of warm answers since the last change of the limit.
  int call_limit_ = 0;    // While ramping.
  BootId granted_boot_ = 0;
  TimePoint valid_until_;  // Of the second holder's grant.
  TimePoint query_sent_;
  std::uint64_t nonce_;
  std::uint64_t cold_observation_id_ = 0;       // Local, as second holder.
  std::uint64_t peer_cold_observation_id_ = 0;  // Reported by the second holder.
  std::optional<Duration> usual_latency_;
  int slow_answers_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_TRACKER_H_
