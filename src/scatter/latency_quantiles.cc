#include "damaskroute/scatter/latency_quantiles.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// 10 us to 100 s in steps of 2%, so that a quantile is off by at most that.
constexpr int kBins = 800;
constexpr double kLowest = 1e-5;
constexpr double kHighest = 100;
// A sample counts this much, so that the loss of weight does not remove it from its bin at once:
// the bins of the slowest calls hold few samples.
constexpr std::uint64_t kWeight = 64;
constexpr std::uint64_t kMinTotal = 100 * kWeight;
constexpr std::uint64_t kKeptTotal = 1000 * kWeight;
constexpr Duration kRefreshInterval = milliseconds(50);
// A tenth of the weight is lost per interval, so half of it in 1.4 s.
constexpr Duration kDecayInterval = milliseconds(200);
constexpr double kDecayFactor = 0.9;

Duration::rep ToTicks(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)).count();
}

}  // namespace

LatencyQuantiles::LatencyQuantiles(double hedge_quantile)
    : hedge_quantile_(hedge_quantile),
      counts_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<Counter>(),
                                                    Axis(kBins, kLowest, kHighest))) {}

void LatencyQuantiles::Record(Duration latency, TimePoint now) {
  counts_(std::chrono::duration<double>(latency).count(), boost::histogram::weight(kWeight));
  Duration::rep due = next_refresh_.load(std::memory_order_relaxed);
  Duration::rep ticks = now.time_since_epoch().count();
  if (ticks < due) return;
  // Only the thread that moves the time refreshes.
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
  if (total < kMinTotal) return;
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
  return ToTicks(kHighest);
}

void LatencyQuantiles::Decay(double factor) {
  std::uint64_t total = 0;
  for (const Counter& count : counts_) total += count.load(std::memory_order_relaxed);
  if (total <= kKeptTotal) return;
  factor = std::max(factor, static_cast<double>(kKeptTotal) / static_cast<double>(total));
  for (Counter& count : counts_) {
    // Subtracts rather than stores, so that no concurrent sample is lost. Rounding up lets single
    // old samples vanish as well.
    auto value = static_cast<double>(count.load(std::memory_order_relaxed));
    count.fetch_sub(static_cast<std::uint64_t>(std::ceil(value * (1 - factor))),
                    std::memory_order_relaxed);
  }
}

}  // namespace damaskroute
