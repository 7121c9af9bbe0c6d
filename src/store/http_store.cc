#include "damaskroute/store/http_store.h"

#include <utility>
#include <vector>

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
    : base_url_(internal::BaseUrl(endpoint)), call_deadline_(call_deadline) {}

absl::StatusOr<StoredValue> HttpStore::Get(const std::string& key) {
  web::http::http_request request(web::http::methods::GET);
  request.set_request_uri(KeyPath(key));
  return ToStoredValue(internal::CallOnce(base_url_, request, call_deadline_));
}

absl::StatusOr<std::uint64_t> HttpStore::CompareAndSwap(const std::string& key,
                                                        std::uint64_t expected_version,
                                                        const std::string& value) {
  if (value.size() > kMaxStoredValueSize) {
    return absl::InvalidArgumentError("the value is too large");
  }
  web::http::http_request request(web::http::methods::PUT);
  request.set_request_uri(KeyPath(key));
  request.headers().add("If-Version", expected_version);
  // Set as bytes: the overload for std::string reads through a stream of a different type, which
  // UBSan reports.
  request.set_body(std::vector<unsigned char>(value.begin(), value.end()));
  HttpCallResult result = internal::CallOnce(base_url_, request, call_deadline_);
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
  web::http::http_request request(web::http::methods::GET);
  request.set_request_uri(
      fmt::format("{}?watch={}&timeout_ms={}", KeyPath(key), after_version, timeout.count()));
  return ToStoredValue(internal::CallOnce(base_url_, request, timeout + call_deadline_));
}

}  // namespace damaskroute
