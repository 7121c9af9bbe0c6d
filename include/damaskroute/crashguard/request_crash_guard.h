#ifndef DAMASKROUTE_CRASHGUARD_REQUEST_CRASH_GUARD_H_
#define DAMASKROUTE_CRASHGUARD_REQUEST_CRASH_GUARD_H_

#include <cstddef>
#include <optional>

#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/crashguard/request_keys.h"

namespace damaskroute {

/// Applies a `CrashGuard` to requests whose headers may differ between repeats. Losses count for
/// the exact request, and for its content, where all losses of one exact request count as one. So
/// one caller's crashing request does not block the same content of other callers, and a request
/// whose headers differ each time is blocked by its content.
class RequestCrashGuard {
 public:
  explicit RequestCrashGuard(CrashGuard& guard) : guard_(guard) {}

  /// Returns how a request may run now. After `kCanary`, `OnSuccess` or `OnEnd` must follow.
  CrashMode Check(const RequestKeys& keys, TimePoint now);

  /// How long a blocked request stays blocked; zero if it is not blocked.
  Duration BlockedFor(const RequestKeys& keys, TimePoint now) const;

  /// See `CrashGuard::IsSuspect`.
  bool IsSuspect(const RequestKeys& keys, TimePoint now) const;

  /// Records a loss. Returns whether it adds knowledge of the exact request.
  bool OnLoss(const RequestKeys& keys, const CrashLoss& loss);

  /// A server answered the request without an error.
  void OnSuccess(const RequestKeys& keys, TimePoint now);

  /// The request ended without such an answer.
  void OnEnd(const RequestKeys& keys, TimePoint now);

  /// What is known about the exact request, if anything.
  std::optional<CrashRecord> RecordOf(const RequestKeys& keys) const;

 private:
  CrashGuard& guard_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_REQUEST_CRASH_GUARD_H_
