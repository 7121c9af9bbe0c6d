#include "damaskroute/rollout/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

constexpr double kFirstBucketMs = 0.5;
constexpr double kBucketsPerOctave = 2;

}  // namespace

std::size_t EvidenceCell::BucketOf(Duration latency) {
  double ms = std::chrono::duration<double, std::milli>(latency).count();
  if (ms <= kFirstBucketMs) return 0;
  auto bucket = static_cast<std::size_t>(kBucketsPerOctave * std::log2(ms / kFirstBucketMs));
  return std::min(bucket, kBuckets - 1);
}

void EvidenceCell::Add(bool failed, Duration latency) {
  ++responses;
  if (failed) {
    ++failures;
  } else {
    ++latencies[BucketOf(latency)];
  }
}

void EvidenceCell::Merge(const EvidenceCell& other) {
  responses += other.responses;
  failures += other.failures;
  for (std::size_t i = 0; i < kBuckets; ++i) latencies[i] += other.latencies[i];
}

int RolloutEvidence::SlotAt(Duration age, Duration duration) {
  constexpr int kParts = kSlots - 1;
  if (duration <= Duration::zero()) return kParts - 1;
  return static_cast<int>(std::clamp<std::int64_t>(age * kParts / duration, 0, kParts - 1));
}

EvidencePair& RolloutEvidence::At(const std::string& route, int slot) {
  bool is_full = routes_.size() >= kMaxRoutes && !routes_.contains(route);
  auto& slots = routes_[is_full ? std::string() : route];
  return slots[static_cast<std::size_t>(std::clamp(slot, 0, kSlots - 1))];
}

void RolloutEvidence::Add(const std::string& route, int slot, bool target, bool failed,
                          Duration latency) {
  EvidencePair& pair = At(route, slot);
  (target ? pair.target : pair.others).Add(failed, latency);
}

void RolloutEvidence::Merge(const RolloutEvidence& other) {
  for (const auto& [route, slots] : other.routes_) {
    for (int slot = 0; slot < kSlots; ++slot) {
      const EvidencePair& pair = slots[static_cast<std::size_t>(slot)];
      if (pair == EvidencePair()) continue;
      EvidencePair& sum = At(route, slot);
      sum.target.Merge(pair.target);
      sum.others.Merge(pair.others);
    }
  }
}

EvidenceCell RolloutEvidence::Total(bool target) const {
  EvidenceCell sum;
  for (const auto& [route, slots] : routes_) {
    for (const EvidencePair& pair : slots) sum.Merge(target ? pair.target : pair.others);
  }
  return sum;
}

}  // namespace damaskroute
