#include "standins/request_target.h"

#include <charconv>

#include "standins/option_text.h"

namespace damaskroute::standins {

std::string_view TargetPath(std::string_view target) { return target.substr(0, target.find('?')); }

namespace {

// Undecoded value of the query parameter `name`.
std::optional<std::string_view> RawQueryParameter(std::string_view target, std::string_view name) {
  std::size_t mark = target.find('?');
  while (mark != std::string_view::npos) {
    std::size_t next = target.find('&', mark + 1);
    std::string_view pair = target.substr(mark + 1, next - mark - 1);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
    mark = next;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> NumericQueryParameter(std::string_view target, std::string_view name) {
  auto value = RawQueryParameter(target, name);
  return value ? ParseDecimal(*value) : std::nullopt;
}

std::optional<std::string> StringQueryParameter(std::string_view target, std::string_view name) {
  auto value = RawQueryParameter(target, name);
  return value ? PercentDecode(*value) : std::nullopt;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned char byte = 0;
    if (i + 2 >= text.size()) return std::nullopt;
    const char* digits = text.data() + i + 1;
    if (std::from_chars(digits, digits + 2, byte, 16).ptr != digits + 2) return std::nullopt;
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t value = 0;
  if (!ParseOption(text, value)) return std::nullopt;
  return value;
}

}  // namespace damaskroute::standins
