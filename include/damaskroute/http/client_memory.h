#ifndef DAMASKROUTE_HTTP_CLIENT_MEMORY_H_
#define DAMASKROUTE_HTTP_CLIENT_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// What a connection does with the memory that it holds. Decides who is closed first when the
/// memory is used up.
enum class MemoryUse : std::uint8_t {
  kServing,   ///< A request is running and cannot be refused any more; never closed.
  kIdle,      ///< Waits for the next request; closed after all `kTransfer`.
  kTransfer,  ///< A request is received or a response sent.
};

/// Account of the memory that the clients of a process hold: headers and bodies of requests, bytes
/// read ahead, and responses that are not read yet. Each connection states what it holds. If the
/// limit is exceeded, the connections that hold the most for the longest are told to close; if
/// these are not enough, the connection that needs more is refused. Thread-safe.
class ClientMemory {
 public:
  /// Limit if the memory of the machine is unknown.
  static constexpr std::size_t kDefaultLimit = std::size_t{64} << 20;

  /// A connection that holds at most this much is ordinary. Larger ones cannot use the last quarter
  /// of the memory. A caller with a header of ordinary size and no body is thus served while large
  /// requests fill the memory.
  static constexpr std::size_t kOrdinaryBytes = std::size_t{16} << 10;

  explicit ClientMemory(std::size_t limit) : limit_(limit) {}
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  /// What one connection holds; released on destruction. Its functions are called by one thread at
  /// a time.
  class Account {
   public:
    /// `evict` tells the connection to close. It is called at most once, by the thread of any
    /// connection, and possibly after this object was destroyed, to which it must not refer.
    /// An `essential` connection is never told to close, and `TryHold` always grants it up to
    /// `kOrdinaryBytes`; the number of such connections must have another bound.
    Account(std::shared_ptr<ClientMemory> memory, std::function<void()> evict, TimePoint now,
            bool essential = false);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Sets what the connection holds. Returns false, without a change, if the limit does not allow
    /// it even after others have been told to close.
    bool TryHold(std::size_t bytes, MemoryUse use, TimePoint now);

    /// The same for bytes that are already in memory and cannot be refused, such as a response.
    void Hold(std::size_t bytes, MemoryUse use, TimePoint now);

    /// Changes the use to `kServing`, so that the connection is not told to close while its request
    /// runs. Returns false if it was told before; the request must then be refused, since the
    /// memory of the connection counts as released.
    bool TryServe(TimePoint now);

   private:
    friend class ClientMemory;

    const std::shared_ptr<ClientMemory> memory_;
    const std::function<void()> evict_;
    const bool essential_;
    std::list<Account*>::iterator position_;
    std::size_t bytes_ = 0;
    MemoryUse use_ = MemoryUse::kIdle;
    TimePoint since_;       // Start of the current use.
    bool leaving_ = false;  // Was told to close.
  };

  std::size_t limit() const { return limit_; }

  /// Bytes that connections hold, including those that were told to close.
  std::size_t held() const;

  /// Number of connections that were told to close.
  std::uint64_t evictions() const;

  /// Number of times that `TryHold` returned false.
  std::uint64_t refusals() const;

  /// Whether so much memory was released that it should be returned to the system.
  bool release_due() const { return release_due_; }

  /// Returns `release_due()` and resets it.
  bool TakeReleased();

 private:
  using Evictions = std::vector<std::function<void()>>;

  // Requires the lock.
  void SetHeld(std::size_t held);

  bool Change(Account& account, std::size_t bytes, MemoryUse use, TimePoint now, bool may_refuse);

  // Chooses connections until `wanted` bytes will be released or none is left. Returns the number
  // of bytes.
  std::size_t Evict(std::size_t wanted, const Account& requester, TimePoint now,
                    Evictions& evicted);

  const std::size_t limit_;
  mutable std::mutex mutex_;  // Protects the members below and those of all accounts.
  std::list<Account*> accounts_;
  std::size_t held_ = 0;
  std::size_t leaving_ = 0;  // Part of `held_` that connections hold which were told to close.
  std::size_t peak_ = 0;     // Largest `held_` since `TakeReleased` returned true.
  std::atomic<bool> release_due_{false};
  std::uint64_t evictions_ = 0;
  std::uint64_t refusals_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CLIENT_MEMORY_H_
