#include "damaskroute/scatter/latency_quantiles.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// 10 us to 100 s in steps of 2%, which bounds the relative error of a quantile.
constexpr int kBins = 800;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;
// Weight of a sample. A weight of 1 would be rounded away by the first decay, and the bins of the
// slowest calls hold few samples.
constexpr std::uint64_t kSampleWeight = 64;
constexpr std::uint64_t kMinTotalWeight = 100 * kSampleWeight;
// Decay stops at this total, so that quantiles remain available at a low call rate.
constexpr std::uint64_t kRetainedTotalWeight = 1000 * kSampleWeight;
constexpr Duration kRefreshInterval = milliseconds(50);
// A tenth of the weight decays per interval, which is a half-life of 1.4 s.
constexpr Duration kDecayInterval = milliseconds(200);
constexpr double kDecayFactor = 0.9;

Duration::rep ToTicks(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)).count();
}

}  // namespace

LatencyQuantiles::LatencyQuantiles(double hedge_quantile)
    : hedge_quantile_(hedge_quantile),
      counts_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<Counter>(),
                                                    Axis(kBins, kMinSeconds, kMaxSeconds))) {}

void LatencyQuantiles::Record(Duration latency, TimePoint now) {
  counts_(std::chrono::duration<double>(latency).count(), boost::histogram::weight(kSampleWeight));
  Duration::rep due = next_refresh_.load(std::memory_order_relaxed);
  Duration::rep ticks = now.time_since_epoch().count();
  if (ticks < due) return;
  // Only the thread that advances the due time refreshes.
  if (!next_refresh_.compare_exchange_strong(due, ticks + kRefreshInterval.count(),
                                             std::memory_order_relaxed)) {
    return;
  }
  Refresh();
  Duration::rep since = last_decay_.load(std::memory_order_relaxed);
  if (ticks - since < kDecayInterval.count()) return;
  last_decay_.store(ticks, std::memory_order_relaxed);
  Decay(std::pow(kDecayFactor, static_cast<double>(ticks - since) / kDecayInterval.count()));
}

std::optional<Duration> LatencyQuantiles::Read(const std::atomic<Duration::rep>& value) {
  Duration::rep ticks = value.load(std::memory_order_relaxed);
  if (ticks == 0) return std::nullopt;
  return Duration(ticks);
}

void LatencyQuantiles::Refresh() {
  std::uint64_t total = 0;
  for (const Counter& count : counts_) total += count.load(std::memory_order_relaxed);
  if (total < kMinTotalWeight) return;
  median_.store(QuantileOf(0.5, total), std::memory_order_relaxed);
  hedge_.store(QuantileOf(hedge_quantile_, total), std::memory_order_relaxed);
}

Duration::rep LatencyQuantiles::QuantileOf(double quantile, std::uint64_t total) const {
  auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total)));
  std::uint64_t seen = 0;
  const auto& axis = counts_.axis();
  for (int bin = -1; bin <= axis.size(); ++bin) {
    seen += counts_.at(bin).load(std::memory_order_relaxed);
    if (seen >= rank) return ToTicks(axis.value(std::min(bin + 1, axis.size())));
  }
  return ToTicks(kMaxSeconds);
}

void LatencyQuantiles::Decay(double factor) {
  std::uint64_t total = 0;
  for (const Counter& count : counts_) total += count.load(std::memory_order_relaxed);
  if (total <= kRetainedTotalWeight) return;
  factor = std::max(factor, static_cast<double>(kRetainedTotalWeight) / static_cast<double>(total));
  for (Counter& count : counts_) {
    // Subtracts instead of storing, so that no concurrent sample is lost. Rounding up removes
    // single old samples as well.
    auto value = static_cast<double>(count.load(std::memory_order_relaxed));
    count.fetch_sub(static_cast<std::uint64_t>(std::ceil(value * (1 - factor))),
                    std::memory_order_relaxed);
  }
}

}  // namespace damaskroute
