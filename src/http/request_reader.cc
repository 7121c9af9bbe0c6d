#include "request_reader.h"

#include <algorithm>
#include <string>

#include "fmt/format.h"

namespace damaskroute::internal {
namespace {

// Longest text that `std::string` stores without an allocation, and the overhead of an allocation.
constexpr std::size_t kInlineText = 15;
constexpr std::size_t kAllocationOverhead = 17;

// Initial capacity of a body. It doubles as the body is received, so that memory is not reserved
// for bytes that never arrive.
constexpr std::size_t kInitialBodyCapacity = std::size_t{4} << 10;

std::size_t TextBytes(std::size_t size) {
  return size <= kInlineText ? 0 : size + kAllocationOverhead;
}

// Headers that must not be repeated, since the parts of the system could choose different ones.
// `Content-Length` and `Transfer-Encoding` frame the message.
struct UniqueHeader {
  boost::beast::http::field field;
  const char* name;
};
constexpr UniqueHeader kUniqueHeaders[] = {
    {boost::beast::http::field::host, "Host"},
    {boost::beast::http::field::content_type, "Content-Type"},
    {boost::beast::http::field::content_length, "Content-Length"},
    {boost::beast::http::field::transfer_encoding, "Transfer-Encoding"},
};

}  // namespace

std::optional<Problem> RequestReader::HeaderProblem() const {
  if (repeated_ != nullptr) {
    return Problem{400, "duplicate_header",
                   fmt::format("header {} occurs more than once", repeated_)};
  }
  // The parser takes the body for the next request if the last encoding is not `chunked`. HTTP/1.0
  // has no transfer encodings, so that an intermediary may frame the message differently.
  if (has_transfer_encoding_ && (!chunked() || version_ < 11)) {
    return Problem{400, "bad_transfer_encoding",
                   "only the transfer encoding chunked of HTTP/1.1 is supported"};
  }
  return std::nullopt;
}

bool RequestReader::Reserve(std::size_t bytes, Error& error) {
  if (may_hold_(bytes)) return true;
  out_of_memory_ = true;
  error = boost::beast::http::error::body_limit;
  return false;
}

void RequestReader::on_request_impl(boost::beast::http::verb, Text method, Text target, int version,
                                    Error&) {
  version_ = version;
  request_.method.assign(method.data(), method.size());
  request_.target.assign(target.data(), target.size());
  field_bytes_ += TextBytes(method.size()) + TextBytes(target.size());
}

void RequestReader::on_field_impl(Field field, Text name, Text value, Error& error) {
  if (++fields_ > max_fields_) {
    error = boost::beast::http::error::header_limit;
    return;
  }
  // Trailer fields arrive after the header was checked and must not become part of it.
  if (is_header_done()) return;
  for (std::size_t i = 0; i < std::size(kUniqueHeaders); ++i) {
    if (field != kUniqueHeaders[i].field) continue;
    std::uint32_t bit = 1U << i;
    if ((seen_headers_ & bit) != 0 && repeated_ == nullptr) repeated_ = kUniqueHeaders[i].name;
    seen_headers_ |= bit;
  }
  if (field == Field::content_type && request_.content_type.empty()) {
    request_.content_type.assign(value.data(), value.size());
    field_bytes_ += TextBytes(value.size());
  }
  if (field == Field::transfer_encoding) has_transfer_encoding_ = true;
  if (field == Field::expect && boost::beast::iequals(value, "100-continue")) {
    expects_continue_ = true;
  }
  if (!keep_fields_) return;
  auto& headers = request_.headers;
  std::size_t text_bytes = TextBytes(name.size()) + TextBytes(value.size());
  if (headers.size() == headers.capacity()) {
    // The old array exists until the new one is filled.
    constexpr std::size_t kInitialFields = 16;
    std::size_t capacity = std::max(kInitialFields, 2 * headers.capacity());
    std::size_t new_bytes = capacity * sizeof(HeaderField);
    std::size_t old_bytes = headers.capacity() * sizeof(HeaderField);
    if (!Reserve(held_bytes() + new_bytes + text_bytes, error)) return;
    headers.reserve(capacity);
    field_bytes_ += new_bytes - old_bytes;
  }
  headers.push_back(
      {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
  field_bytes_ += text_bytes;
}

void RequestReader::Append(Text body, Error& error) {
  std::string& text = request_.body;
  std::size_t size = text.size() + body.size();
  if (size > text.capacity()) {
    std::size_t capacity = std::max({size, 2 * text.capacity(), kInitialBodyCapacity});
    if (auto length = content_length()) {
      capacity = std::min<std::size_t>(capacity, std::max<std::uint64_t>(*length, size));
    }
    if (!Reserve(field_bytes_ + capacity, error)) return;
    text.reserve(capacity);
  }
  text.append(body.data(), body.size());
}

std::size_t RequestReader::on_body_impl(Text body, Error& error) {
  Append(body, error);
  return body.size();
}

std::size_t RequestReader::on_chunk_body_impl(std::uint64_t, Text body, Error& error) {
  Append(body, error);
  return body.size();
}

}  // namespace damaskroute::internal
