#include "standins/option_text.h"

#include <charconv>
#include <cmath>

namespace damaskroute::standins {
namespace {

// One day. Prevents overflow when durations are added to time points.
constexpr std::int64_t kMaxDurationMicros = 86'400'000'000;

template <typename Number>
bool ParseNumber(std::string_view text, Number& value) {
  Number parsed{};
  const char* end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, parsed);
  if (result.ec != std::errc() || result.ptr != end) return false;
  value = parsed;
  return true;
}

}  // namespace

bool ParseOption(std::string_view text, std::chrono::microseconds& value) {
  std::int64_t factor = 0;
  if (text.ends_with("us")) {
    factor = 1;
  } else if (text.ends_with("ms")) {
    factor = 1'000;
  } else if (text.ends_with("s")) {
    factor = 1'000'000;
  } else {
    return false;
  }
  text.remove_suffix(factor == 1'000'000 ? 1 : 2);
  std::int64_t count = 0;
  if (!ParseNumber(text, count) || count < 0 || count > kMaxDurationMicros / factor) return false;
  value = std::chrono::microseconds(count * factor);
  return true;
}

bool ParseOption(std::string_view text, std::uint64_t& value) { return ParseNumber(text, value); }

bool ParseOption(std::string_view text, int& value) {
  int parsed = 0;
  if (!ParseNumber(text, parsed) || parsed < 0) return false;
  value = parsed;
  return true;
}

bool ParseOption(std::string_view text, double& value) {
  double parsed = 0;
  if (!ParseNumber(text, parsed) || !std::isfinite(parsed) || parsed < 0) return false;
  value = parsed;
  return true;
}

bool ParseOption(std::string_view text, bool& value) {
  if (text != "true" && text != "false") return false;
  value = text == "true";
  return true;
}

}  // namespace damaskroute::standins
