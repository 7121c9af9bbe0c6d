#include "damaskroute/forward/backend_rate_limit.h"

#include <algorithm>
#include <cmath>

#include "damaskroute/forward/node_share.h"

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

// Fraction of the limit that the first nodes use if there are too many nodes for a call per window
// each. The turns of the others use the rest.
constexpr double kFirstNodesFraction = 0.5;

// Rates above this are no limit in practice.
constexpr double kMaxRate = 1e6;

// Greatest mean of a random number of independent events that rarely exceeds `max`: `max` is three
// standard deviations above it.
double MeanBelow(double max) {
  constexpr double kDeviations = 3;
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

int BackendRateLimit::CallsPerWindow() const {
  auto calls = static_cast<int>(kUsedFraction * MaxCallsInWindow());
  return NodeShare(calls < nodes_ ? FirstNodes() : calls, nodes_, position_);
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
    next_report_ = now + kReportInterval;
  } else {
    SettleTokens(now);
  }
  rate_ = std::min(rate, kMaxRate);
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
  int calls = CallsPerWindow();
  if (calls == 0) return NextTurnAt(now);
  TimePoint in_window_at = NextInWindowAt(calls, now);
  return calls == 1 ? in_window_at : std::max(in_window_at, NextTokenAt(now));
}

TimePoint BackendRateLimit::NextInWindowAt(int max_calls, TimePoint now) const {
  auto count = static_cast<std::ptrdiff_t>(recent_.size());
  if (count < max_calls) return now;
  return std::max(now, recent_[static_cast<std::size_t>(count - max_calls)] + kSendWindow);
}

int BackendRateLimit::FirstNodes() const {
  return static_cast<int>(kFirstNodesFraction * MaxCallsInWindow());
}

bool BackendRateLimit::AllowsHedge(TimePoint now) const {
  if (!rate_) return true;
  return Allows(now) && CallsPerWindow() > 1 && TokensAt(now) - 1 >= MaxTokens() * kHedgeReserve;
}

TimePoint BackendRateLimit::NextTokenAt(TimePoint now) const {
  double missing = 1 - TokensAt(now);
  return missing <= 0 ? now : now + ToDuration(Seconds(missing / TokensPerSecond()));
}

// A window can hold the calls of all turns that overlap it: those that begin in it or in the window
// before it.
TimePoint BackendRateLimit::NextTurnAt(TimePoint now) const {
  constexpr Seconds kTurn = kWindow;
  double calls = MeanBelow((1 - kFirstNodesFraction) * MaxCallsInWindow());
  Seconds interval = 2 * kTurn * (nodes_ - FirstNodes()) / calls;
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
  next_report_ = now + kReportInterval;
  return true;
}

}  // namespace damaskroute
