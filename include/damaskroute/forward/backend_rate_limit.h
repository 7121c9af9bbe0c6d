#ifndef DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_
#define DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// The request rate that a backend server accepts from all nodes together, as stated in its
/// responses, and this node's calls while the limit is in effect.
class BackendRateLimit {
 public:
  /// Records a response that states `rate`, in requests per second. Returns whether this begins a
  /// limit.
  bool OnStated(double rate, TimePoint now);

  /// Records a response, to a call that was sent at `sent`, that states no rate. Returns whether
  /// this ends a limit. Calls that were sent before the last statement do not end it, because their
  /// responses may be older.
  bool OnNotStated(TimePoint sent);

  /// Records a call to the server.
  void OnSent(TimePoint now);

  /// Requests per second from all nodes; nothing without a limit.
  const std::optional<double>& rate() const { return rate_; }

  /// Calls within the last `kWindow` while the limit was in effect.
  std::size_t CallsInWindow(TimePoint now) const;

  static constexpr std::chrono::seconds kWindow{4};

  /// Whether an existing limit is to be logged again; true at most once in `kWindow`.
  bool IsReportDue(TimePoint now);

 private:
  std::optional<double> rate_;
  TimePoint stated_at_;
  TimePoint next_report_;
  std::deque<TimePoint> recent_;  // Calls within the last window, ascending.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_
