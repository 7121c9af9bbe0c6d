#include "damaskroute/forward/backend_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Calls that are sent within this time may arrive within one window, as their network delays differ
// by up to 300 ms.
constexpr milliseconds kSendWindow = BackendRateLimit::kWindow + milliseconds(300);

// Fraction of the limit that the known nodes use; the rest covers nodes that joined and are not
// counted yet.
constexpr double kUsedFraction = 0.8;

// Factor on a node's share of the stated rate. Callers are spread unevenly over the nodes, and
// those with few callers leave a part of their share unused.
constexpr double kShareFactor = 1.1;

// Rate that is assumed if a server states less, so that its responses show when the limit ends.
constexpr double kMinRate = 0.5;

// Time in which the calls of a burst accumulate.
constexpr Seconds kBurstTime{0.5};

// Fraction of the accumulated calls that hedged calls leave.
constexpr double kHedgeReserve = 0.5;

// Greatest mean of a random number of independent events that rarely exceeds `max`: `max` is four
// standard deviations above it.
double MeanBelow(double max) {
  constexpr double kDeviations = 4;
  double root = (std::sqrt(kDeviations * kDeviations + 4 * max) - kDeviations) / 2;
  return root * root;
}

Duration ToDuration(Seconds seconds) {
  // Rounded up, as a wait that is a fraction of a tick too short is never over.
  return std::chrono::ceil<Duration>(seconds);
}

}  // namespace

double BackendRateLimit::MaxCallsInWindow() const {
  return *rate_ * kOvershoot * Seconds(kWindow).count() + kSlack;
}

double BackendRateLimit::CallsPerWindow() const {
  return kUsedFraction * MaxCallsInWindow() / nodes_;
}

double BackendRateLimit::TokensPerSecond() const {
  return kShareFactor * std::max(*rate_, kMinRate) / nodes_;
}

double BackendRateLimit::MaxTokens() const {
  return std::max(TokensPerSecond() * kBurstTime.count(), 1.0);
}

double BackendRateLimit::TokensAt(TimePoint now) const {
  return std::min(tokens_ + TokensPerSecond() * Seconds(now - tokens_at_).count(), MaxTokens());
}

void BackendRateLimit::SettleTokens(TimePoint now) {
  if (rate_) tokens_ = TokensAt(now);
  tokens_at_ = now;
}

bool BackendRateLimit::OnStated(double rate, TimePoint now) {
  stated_at_ = now;
  bool begins = !rate_;
  if (begins) {
    tokens_ = 1;
    tokens_at_ = now;
    next_report_ = now + kWindow;
  } else {
    SettleTokens(now);
  }
  rate_ = rate;
  return begins;
}

bool BackendRateLimit::OnNotStated(TimePoint sent) {
  if (!rate_ || sent < stated_at_) return false;
  rate_.reset();
  recent_.clear();
  return true;
}

void BackendRateLimit::OnSent(TimePoint now) {
  last_sent_ = now;
  if (!rate_) return;
  SettleTokens(now);
  tokens_ = std::max(tokens_ - 1, 0.0);
  while (!recent_.empty() && recent_.front() + kSendWindow <= now) recent_.pop_front();
  recent_.push_back(now);
}

TimePoint BackendRateLimit::AllowedAt(TimePoint now) const {
  if (!rate_) return now;
  double share = CallsPerWindow();
  if (share < 1) return NextTurnAt(now);
  TimePoint allowed_at = NextTokenAt(now);
  auto max_calls = static_cast<std::size_t>(std::min(share, 1e9));
  if (recent_.size() >= max_calls) {
    allowed_at = std::max(allowed_at, recent_[recent_.size() - max_calls] + kSendWindow);
  }
  return allowed_at;
}

bool BackendRateLimit::AllowsHedge(TimePoint now) const {
  if (!rate_) return true;
  return Allows(now) && CallsPerWindow() >= 1 && TokensAt(now) - 1 >= MaxTokens() * kHedgeReserve;
}

TimePoint BackendRateLimit::NextTokenAt(TimePoint now) const {
  double missing = 1 - TokensAt(now);
  return missing <= 0 ? now : now + ToDuration(Seconds(missing / TokensPerSecond()));
}

// A window can hold the calls of all turns that overlap it: those that begin in it or in the window
// before it.
TimePoint BackendRateLimit::NextTurnAt(TimePoint now) const {
  constexpr Seconds kTurn = kWindow;
  Seconds interval = 2 * kTurn * nodes_ / MeanBelow(kUsedFraction * MaxCallsInWindow());
  double turns = Seconds(now.time_since_epoch()) / interval + phase_;
  Seconds into_turn = (turns - std::floor(turns)) * interval;
  bool used = last_sent_ >= now - ToDuration(into_turn);
  if (into_turn < kTurn && !used) return now;
  return now + ToDuration(interval - into_turn);
}

std::size_t BackendRateLimit::CallsInWindow(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      recent_.begin(), recent_.end(), [now](TimePoint sent) { return sent + kWindow > now; }));
}

bool BackendRateLimit::IsReportDue(TimePoint now) {
  if (now < next_report_) return false;
  next_report_ = now + kWindow;
  return true;
}

}  // namespace damaskroute
