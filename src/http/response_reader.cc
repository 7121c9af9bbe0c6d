#include "response_reader.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"

namespace damaskroute::internal {
namespace {

// Limits the memory reserved on the basis of `Content-Length` alone.
constexpr std::uint64_t kMaxReservedBytes = 256 << 10;

template <typename T>
T ParseNumberOr(std::string_view text, T fallback) {
  T value{};
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

// Whether this is the status of a final or an interim response. 101 is neither, because it would
// end the use of HTTP on the connection. The parser accepts any three digits.
bool IsAcceptedStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status < 600 && status != kSwitchingProtocols;
}

// Returns nothing for a negative or invalid rate.
std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  bool valid = absl::SimpleAtod(absl::string_view(text.data(), text.size()), &rate) && rate >= 0;
  return valid ? std::optional(rate) : std::nullopt;
}

}  // namespace

ResponseReader::ResponseReader(const BackendClientOptions& options) : options_(options) {
  header_limit(options.max_head_bytes);
  body_limit(options.max_body_bytes);
  eager(true);
  result_.budgeted_bytes = BudgetedBytes(options.body_budget);
}

ExchangeResult ResponseReader::TakeResult() {
  result_.end = ExchangeEnd::kAnswered;
  return std::move(result_);
}

void ResponseReader::on_response_impl(int code, Text, int, Error& error) {
  if (!IsAcceptedStatus(code)) error = boost::beast::http::error::bad_status;
  result_.status = code;
}

void ResponseReader::ReadKeepAlive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  auto at = value.find(kTimeout);
  if (at == std::string_view::npos) return;
  value.remove_prefix(at + kTimeout.size());
  value = value.substr(0, value.find_first_not_of("0123456789"));
  keep_alive_timeout_ = std::chrono::seconds(ParseNumberOr(value, std::int32_t{0}));
}

void ResponseReader::on_field_impl(Field field, Text name_text, Text value_text, Error&) {
  std::string_view value(value_text.data(), value_text.size());
  if (options_.keep_headers) {
    result_.headers.push_back(
        {std::string(name_text.data(), name_text.size()), std::string(value)});
  }
  if (field == Field::keep_alive) ReadKeepAlive(value);
  auto is_first = [&](std::uint32_t bit, std::string_view name) {
    if (!boost::beast::iequals(name_text, Text(name.data(), name.size()))) return false;
    bool first = (seen_headers_ & bit) == 0;
    seen_headers_ |= bit;
    return first;
  };
  if (is_first(1, options_.request_id_header)) {
    result_.request_id = value;
  } else if (is_first(2, "Damask-Attempt")) {
    result_.attempt = ParseNumberOr(value, std::uint32_t{0});
  } else if (is_first(4, "Damask-Index-Version")) {
    result_.version = ParseNumberOr(value, IndexVersion{0});
  } else if (is_first(8, "Damask-Boot-Id")) {
    result_.boot_id = ParseNumberOr(value, BootId{0});
  } else if (is_first(16, "Damask-State")) {
    result_.state = value;
  } else if (is_first(32, "Damask-Range")) {
    result_.range = ParseKeyRange(value).value_or(KeyRange{});
  } else if (!options_.leaving_header.empty() && is_first(64, options_.leaving_header)) {
    result_.leaving = value == "1";
  } else if (!options_.rate_limit_header.empty() && is_first(128, options_.rate_limit_header)) {
    result_.rate_limit = ParseRate(value);
  }
}

void ResponseReader::on_body_init_impl(const boost::optional<std::uint64_t>& length, Error&) {
  if (length.has_value()) result_.body.reserve(std::min(*length, kMaxReservedBytes));
}

void ResponseReader::Append(Text body, Error& error) {
  constexpr std::size_t kUnbudgeted = BackendClientOptions::kUnbudgetedBodyBytes;
  std::size_t size = result_.body.size() + body.size();
  if (size > kUnbudgeted && !result_.budgeted_bytes.GrowTo(size - kUnbudgeted)) {
    error = boost::beast::http::error::body_limit;
    return;
  }
  result_.body.append(body.data(), body.size());
}

std::size_t ResponseReader::on_body_impl(Text body, Error& error) {
  Append(body, error);
  return body.size();
}

std::size_t ResponseReader::on_chunk_body_impl(std::uint64_t, Text body, Error& error) {
  Append(body, error);
  return body.size();
}

}  // namespace damaskroute::internal
