#ifndef DAMASKROUTE_STORE_CONFIG_STORE_H_
#define DAMASKROUTE_STORE_CONFIG_STORE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "damaskroute/store/stored_value.h"

namespace damaskroute {

/// Maximum size of a value in bytes.
inline constexpr std::size_t kMaxStoredValueSize = 1'000'000;

/// Client of the platform's key-value store. Calls block and may be made from several threads.
///
/// `Get(key)`: NotFound if the key does not exist, Unavailable if the store cannot be read now.
///
/// `CompareAndSwap(key, expected_version, value)`: writes if the key's version is the expected one
/// (0: the key does not exist) and returns the new version. It sends the write at most once.
/// - Aborted: the key has another version; nothing was written.
/// - InvalidArgument: the value exceeds `kMaxStoredValueSize`; nothing was written.
/// - Unavailable: nothing was written, and this call will not take effect later.
/// - Unknown: the write may have taken effect, or may still take effect.
///
/// `Watch(key, after_version, timeout)`: waits until the key's version exceeds `after_version` and
/// returns the value. DeadlineExceeded if that does not happen within `timeout`; NotFound at once
/// if `after_version` is not 0 and the key does not exist; Unavailable as for `Get`.
template <typename T>
concept ConfigStore = requires(T& store, const std::string& key, std::uint64_t version,
                               const std::string& value, std::chrono::milliseconds timeout) {
  { store.Get(key) } -> std::same_as<absl::StatusOr<StoredValue>>;
  { store.CompareAndSwap(key, version, value) } -> std::same_as<absl::StatusOr<std::uint64_t>>;
  { store.Watch(key, version, timeout) } -> std::same_as<absl::StatusOr<StoredValue>>;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_CONFIG_STORE_H_
