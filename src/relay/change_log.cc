#include "damaskroute/relay/change_log.h"

#include <algorithm>

namespace damaskroute {
namespace {

std::size_t SizeOf(const StoreItem& item) {
  return item.key.size() + item.value.size() + sizeof(StoreItem);
}

}  // namespace

void ChangeLog::Restart(std::uint64_t revision, std::uint64_t era) {
  era_ = era;
  entries_.clear();
  bytes_ = 0;
  start_ = as_of_ = revision;
}

void ChangeLog::Append(const std::vector<StoreItem>& items, std::uint64_t as_of,
                       bool after_outage) {
  for (const StoreItem& item : items) {
    entries_.push_back({item, after_outage});
    bytes_ += SizeOf(item);
  }
  as_of_ = std::max(as_of_, as_of);
  while (bytes_ > kMaxBytes && !entries_.empty()) {
    const StoreItem& oldest = entries_.front().item;
    start_ = std::max(start_, oldest.revision);
    bytes_ -= SizeOf(oldest);
    entries_.pop_front();
  }
}

std::optional<StorePage> ChangeLog::After(std::uint64_t revision) const {
  if (as_of_ == 0 || revision < start_) return std::nullopt;
  StorePage page;
  page.as_of = as_of_;
  page.era = era_;
  for (const Entry& entry : entries_) {
    if (entry.item.revision <= revision) continue;
    page.items.push_back(entry.item);
    page.after_outage = page.after_outage || entry.after_outage;
  }
  return page;
}

}  // namespace damaskroute
