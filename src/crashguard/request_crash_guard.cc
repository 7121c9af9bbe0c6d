#include "damaskroute/crashguard/request_crash_guard.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Names of the key spaces in the guard. Services are not told apart, as the weights of a route may
// send a request to several.
constexpr char kExact[] = "";
constexpr char kContent[] = "content";

}  // namespace

CrashMode RequestCrashGuard::Check(const RequestKeys& keys, TimePoint now) {
  CrashMode content = guard_.Check(kContent, keys.content, now);
  if (content == CrashMode::kBlocked || content == CrashMode::kWait) return content;
  CrashMode exact = guard_.Check(kExact, keys.exact, now);
  if (exact == CrashMode::kNormal) return content;
  bool refused = exact == CrashMode::kBlocked || exact == CrashMode::kWait;
  if (refused && content == CrashMode::kCanary) guard_.OnEnd(kContent, keys.content, now);
  return exact;
}

Duration RequestCrashGuard::BlockedFor(const RequestKeys& keys, TimePoint now) const {
  return std::max(guard_.BlockedFor(kExact, keys.exact, now),
                  guard_.BlockedFor(kContent, keys.content, now));
}

bool RequestCrashGuard::IsSuspect(const RequestKeys& keys, TimePoint now) const {
  return guard_.IsSuspect(kExact, keys.exact, now) || guard_.IsSuspect(kContent, keys.content, now);
}

bool RequestCrashGuard::OnLoss(const RequestKeys& keys, const CrashLoss& loss) {
  CrashLoss of_content = loss;
  of_content.id = keys.exact;  // Losses of the same id count once.
  guard_.OnLoss(kContent, keys.content, of_content);
  return guard_.OnLoss(kExact, keys.exact, loss);
}

void RequestCrashGuard::OnSuccess(const RequestKeys& keys, TimePoint now) {
  guard_.OnSuccess(kExact, keys.exact, now);
  guard_.OnSuccess(kContent, keys.content, now);
}

void RequestCrashGuard::OnEnd(const RequestKeys& keys, TimePoint now) {
  guard_.OnEnd(kExact, keys.exact, now);
  guard_.OnEnd(kContent, keys.content, now);
}

std::optional<CrashRecord> RequestCrashGuard::RecordOf(const RequestKeys& keys) const {
  return guard_.RecordOf(kExact, keys.exact);
}

}  // namespace damaskroute
