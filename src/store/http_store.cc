#include "damaskroute/store/http_store.h"

#include <cpprest/base_uri.h>

#include <utility>

#include "fmt/format.h"
#include "http_call.h"

namespace damaskroute {
namespace {

using internal::HttpCallResult;

std::string KeyPath(const std::string& key) {
  return fmt::format("/kv/{}", web::uri::encode_data_string(key));
}

absl::StatusOr<StoredValue> ToStoredValue(HttpCallResult result) {
  if (result.status == 404) return absl::NotFoundError("no such key");
  if (result.status == 204) return absl::DeadlineExceededError("no newer version");
  if (result.status == 200 && result.version > 0) {
    return StoredValue{std::move(result.body), result.version};
  }
  return absl::UnavailableError(
      fmt::format("the store cannot be read: status {} {}", result.status, result.error));
}

}  // namespace

HttpStore::HttpStore(const Endpoint& endpoint, std::chrono::milliseconds call_deadline)
    : endpoint_(endpoint), call_deadline_(call_deadline) {}

absl::StatusOr<StoredValue> HttpStore::Get(const std::string& key) {
  return ToStoredValue(
      internal::CallPlatform(endpoint_, {"GET", KeyPath(key), "", ""}, call_deadline_));
}

absl::StatusOr<std::uint64_t> HttpStore::CompareAndSwap(const std::string& key,
                                                        std::uint64_t expected_version,
                                                        const std::string& value) {
  if (value.size() > kMaxStoredValueSize) {
    return absl::InvalidArgumentError("the value is too large");
  }
  HttpCallResult result = internal::CallPlatform(
      endpoint_,
      {"PUT", KeyPath(key),
       fmt::format("Content-Type: application/octet-stream\r\nIf-Version: {}\r\n",
                   expected_version),
       value},
      call_deadline_);
  if (result.status == 200 && result.version > 0) return result.version;
  if (result.status == 412) {
    return absl::AbortedError(fmt::format("the key has version {}", result.version));
  }
  std::string text = fmt::format("status {} {}", result.status, result.error);
  // The platform responds with 429 and 503 before it accesses the key.
  if (!result.connected || result.status == 429 || result.status == 503) {
    return absl::UnavailableError(fmt::format("the store refused the write: {}", text));
  }
  if (result.status == 400 || result.status == 413) {
    return absl::InvalidArgumentError(fmt::format("the store rejected the write: {}", text));
  }
  return absl::UnknownError(fmt::format("outcome of the write unknown: {}", text));
}

absl::StatusOr<StoredValue> HttpStore::Watch(const std::string& key, std::uint64_t after_version,
                                             std::chrono::milliseconds timeout) {
  auto target =
      fmt::format("{}?watch={}&timeout_ms={}", KeyPath(key), after_version, timeout.count());
  return ToStoredValue(
      internal::CallPlatform(endpoint_, {"GET", target, "", ""}, timeout + call_deadline_));
}

}  // namespace damaskroute
