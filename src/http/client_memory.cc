#include "damaskroute/http/client_memory.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace damaskroute {
namespace {

// Added to the time for which a connection has held its memory. Without it, connections that took
// much just now would be closed after all others.
constexpr std::chrono::duration<double> kBaseAge{1};

// An eviction releases this much more than is needed, as a fraction of the limit, since it looks at
// all connections.
constexpr std::size_t kExtraFraction = 8;

// Memory is returned to the system after this much was released: a quarter of the 16 MB by which
// the process may exceed its baseline after a load.
constexpr std::size_t kReturnedBytes = std::size_t{4} << 20;

}  // namespace

ClientMemory::Account::Account(std::shared_ptr<ClientMemory> memory, std::function<void()> evict,
                               TimePoint now, bool essential)
    : memory_(std::move(memory)), evict_(std::move(evict)), essential_(essential), since_(now) {
  std::lock_guard lock(memory_->mutex_);
  position_ = memory_->accounts_.insert(memory_->accounts_.end(), this);
}

ClientMemory::Account::~Account() {
  std::lock_guard lock(memory_->mutex_);
  memory_->SetHeld(memory_->held_ - bytes_);
  if (leaving_) memory_->leaving_ -= bytes_;
  memory_->accounts_.erase(position_);
}

bool ClientMemory::Account::TryHold(std::size_t bytes, MemoryUse use, TimePoint now) {
  bool may_refuse = !essential_ || bytes > kOrdinaryBytes;
  return memory_->Change(*this, bytes, use, now, may_refuse) || !may_refuse;
}

void ClientMemory::Account::Hold(std::size_t bytes, MemoryUse use, TimePoint now) {
  memory_->Change(*this, bytes, use, now, /*may_refuse=*/false);
}

bool ClientMemory::Account::TryServe(TimePoint now) {
  std::lock_guard lock(memory_->mutex_);
  if (leaving_) {
    ++memory_->refusals_;
    return false;
  }
  if (use_ != MemoryUse::kServing) since_ = now;
  use_ = MemoryUse::kServing;
  return true;
}

void ClientMemory::SetHeld(std::size_t held) {
  held_ = held;
  peak_ = std::max(peak_, held_);
  if (peak_ >= held_ + kReturnedBytes) release_due_ = true;
}

bool ClientMemory::Change(Account& account, std::size_t bytes, MemoryUse use, TimePoint now,
                          bool may_refuse) {
  Evictions evicted;
  bool allowed = true;
  {
    std::lock_guard lock(mutex_);
    if (bytes > account.bytes_ && !account.leaving_) {
      std::size_t limit = bytes <= kOrdinaryBytes ? limit_ : limit_ - limit_ / 4;
      std::size_t needed = held_ - leaving_ - account.bytes_ + bytes;
      if (needed > limit) {
        std::size_t excess = needed - limit;
        std::size_t found = Evict(excess + limit_ / kExtraFraction, account, now, evicted);
        allowed = found >= excess;
      }
    }
    if (allowed || !may_refuse) {
      SetHeld(held_ + bytes - account.bytes_);
      if (account.leaving_) leaving_ += bytes - account.bytes_;
      account.bytes_ = bytes;
      if (account.use_ != use) account.since_ = now;
      account.use_ = use;
    } else {
      ++refusals_;
    }
  }
  for (const auto& evict : evicted) evict();
  return allowed;
}

std::size_t ClientMemory::Evict(std::size_t wanted, const Account& requester, TimePoint now,
                                Evictions& evicted) {
  // Transfers come first, then the product of bytes and time decides.
  using Rank = std::tuple<MemoryUse, double>;
  std::vector<std::pair<Rank, Account*>> candidates;
  for (Account* account : accounts_) {
    if (account->leaving_ || account->essential_ || account->bytes_ == 0) continue;
    if (account->use_ == MemoryUse::kServing) continue;
    double bytes = static_cast<double>(account->bytes_);
    double age = std::chrono::duration<double>(now - account->since_ + kBaseAge).count();
    candidates.push_back({{account->use_, bytes * age}, account});
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  std::size_t found = 0;
  for (const auto& [rank, account] : candidates) {
    // The requester itself holds the most: it is refused.
    if (found >= wanted || account == &requester) break;
    found += account->bytes_;
    account->leaving_ = true;
    leaving_ += account->bytes_;
    ++evictions_;
    evicted.push_back(account->evict_);
  }
  return found;
}

std::size_t ClientMemory::held() const {
  std::lock_guard lock(mutex_);
  return held_;
}

std::uint64_t ClientMemory::evictions() const {
  std::lock_guard lock(mutex_);
  return evictions_;
}

std::uint64_t ClientMemory::refusals() const {
  std::lock_guard lock(mutex_);
  return refusals_;
}

bool ClientMemory::TakeReleased() {
  std::lock_guard lock(mutex_);
  if (!release_due_) return false;
  release_due_ = false;
  peak_ = held_;
  return true;
}

}  // namespace damaskroute
