#ifndef DAMASKROUTE_STORE_HTTP_STORE_H_
#define DAMASKROUTE_STORE_HTTP_STORE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/store/config_store.h"
#include "damaskroute/store/stored_value.h"

namespace damaskroute {

/// `ConfigStore` over the platform's HTTP interface.
///
/// Example:
///
///     HttpStore store({"127.0.0.1", 9500}, std::chrono::seconds(2));
///     absl::StatusOr<StoredValue> head = store.Get("damaskroute/config/head");
class HttpStore {
 public:
  /// `call_deadline` bounds each call as a whole; a watch takes its own timeout in addition.
  HttpStore(const Endpoint& endpoint, std::chrono::milliseconds call_deadline);

  absl::StatusOr<StoredValue> Get(const std::string& key);
  absl::StatusOr<std::uint64_t> CompareAndSwap(const std::string& key,
                                               std::uint64_t expected_version,
                                               const std::string& value);
  absl::StatusOr<StoredValue> Watch(const std::string& key, std::uint64_t after_version,
                                    std::chrono::milliseconds timeout);

 private:
  Endpoint endpoint_;
  std::chrono::milliseconds call_deadline_;
};

static_assert(ConfigStore<HttpStore>);

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_HTTP_STORE_H_
