#include "damaskroute/settings/yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

#include "damaskroute/core/error_text.h"
#include "damaskroute/core/name_character.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace damaskroute {
namespace {

using std::chrono::nanoseconds;

constexpr std::size_t kMaxTextBytes = 4096;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxListEntries = 100'000;

struct Unit {
  const char* suffix;
  std::int64_t nanoseconds;
};

// Ordered from the longest to the shortest, so that FormatSpan finds the shortest text first.
constexpr std::array<Unit, 5> kUnits{{{"h", 3'600'000'000'000},
                                      {"min", 60'000'000'000},
                                      {"s", 1'000'000'000},
                                      {"ms", 1'000'000},
                                      {"us", 1'000}}};

template <typename T>
std::optional<T> ParseNumber(const std::string& text) {
  T value{};
  auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::string FormatSpan(nanoseconds span) {
  for (const Unit& unit : kUnits) {
    if (span.count() % unit.nanoseconds == 0 && span.count() != 0) {
      return fmt::format("{}{}", span.count() / unit.nanoseconds, unit.suffix);
    }
  }
  return span.count() == 0 ? "0s" : fmt::format("{:.3f}us", span.count() / 1e3);
}

std::optional<nanoseconds> ParseSpan(const std::string& text) {
  std::int64_t count = 0;
  auto result = std::from_chars(text.data(), text.data() + text.size(), count);
  if (result.ec != std::errc() || count < 0) return std::nullopt;
  std::string suffix(result.ptr, text.data() + text.size());
  for (const Unit& unit : kUnits) {
    if (suffix != unit.suffix) continue;
    if (count > INT64_MAX / unit.nanoseconds) return std::nullopt;
    return nanoseconds(count * unit.nanoseconds);
  }
  return std::nullopt;
}

YamlReader YamlReader::Parse(const std::string& file, const std::string& text, YamlErrors* errors) {
  YAML::Node empty(YAML::NodeType::Map);
  try {
    YAML::Node root = YAML::Load(text);
    if (root.IsNull()) return {file, empty, errors};
    YamlReader reader(file, root, errors);
    if (root.IsMap()) return reader;
    reader.FailAt(root.Mark(), "expected a mapping");
  } catch (const YAML::Exception& error) {
    errors->Add(file, error.mark.line + 1, error.mark.column + 1,
                fmt::format("expected YAML: {}", error.msg));
  }
  return {file, empty, errors};
}

void YamlReader::ExpectKeys(std::initializer_list<const char*> keys) const {
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      FailAt(entry.first.Mark(),
             fmt::format("expected one of the keys {}, found \"{}\"", fmt::join(keys, ", "), key));
    } else if (!seen.insert(key).second) {
      FailAt(entry.first.Mark(), fmt::format("expected the key \"{}\" only once", key));
    }
  }
}

bool YamlReader::Has(const char* key) const { return Find(key).IsDefined(); }

// Compares the keys one by one, because operator[] of yaml-cpp throws for keys that are not
// scalars.
YAML::Node YamlReader::Find(const char* key) const {
  for (const auto& entry : node_) {
    if (entry.first.IsScalar() && entry.first.Scalar() == key) return entry.second;
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

void YamlReader::FailAt(const YAML::Mark& mark, const std::string& expected) const {
  // A mapping that is not in the document has no position, for which yaml-cpp returns -1.
  errors_->Add(file_, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1, expected);
}

void YamlReader::Fail(const char* key, const std::string& expected) const {
  YAML::Node value = Find(key);
  FailAt(value.IsDefined() ? value.Mark() : node_.Mark(), fmt::format("{}: {}", key, expected));
}

std::optional<std::string> YamlReader::Scalar(const char* key, bool required,
                                              const char* expected) const {
  YAML::Node value = Find(key);
  if (!value.IsDefined()) {
    if (required) Fail(key, fmt::format("expected {}, the key is missing", expected));
    return std::nullopt;
  }
  if (!value.IsScalar() || value.Scalar().size() > kMaxTextBytes) {
    Fail(key, fmt::format("expected {}", expected));
    return std::nullopt;
  }
  return value.Scalar();
}

std::string YamlReader::String(const char* key, const std::optional<std::string>& fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "a text");
  if (!text.has_value()) return fallback.value_or("");
  if (text->empty()) Fail(key, "expected a text that is not empty");
  return *text;
}

std::string YamlReader::Name(const char* key, const std::optional<std::string>& fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "a name");
  if (!text.has_value()) return fallback.value_or("");
  if (text->empty() || text->size() > kMaxNameBytes ||
      !std::all_of(text->begin(), text->end(), IsNameCharacter)) {
    Fail(key, "expected a name of 1 to 64 characters out of a-z, A-Z, 0-9, '.', '_' and '-'");
  }
  return *text;
}

std::int64_t YamlReader::Integer(const char* key, std::int64_t min, std::int64_t max,
                                 std::optional<std::int64_t> fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "a whole number");
  if (!text.has_value()) return fallback.value_or(min);
  std::optional<std::int64_t> value = ParseNumber<std::int64_t>(*text);
  if (value.has_value() && *value >= min && *value <= max) return *value;
  Fail(key, fmt::format("expected a whole number from {} to {}, found \"{}\"", min, max, *text));
  return min;
}

double YamlReader::Number(const char* key, double min, double max,
                          std::optional<double> fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "a number");
  if (!text.has_value()) return fallback.value_or(min);
  std::optional<double> value = ParseNumber<double>(*text);
  if (value.has_value() && *value >= min && *value <= max) return *value;
  Fail(key, fmt::format("expected a number from {} to {}, found \"{}\"", min, max, *text));
  return min;
}

bool YamlReader::Boolean(const char* key, std::optional<bool> fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "true or false");
  if (!text.has_value()) return fallback.value_or(false);
  if (*text != "true" && *text != "false") {
    Fail(key, fmt::format("expected true or false, found \"{}\"", *text));
  }
  return *text == "true";
}

Endpoint YamlReader::Address(const char* key, const std::optional<Endpoint>& fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "an address with a port");
  if (!text.has_value()) return fallback.value_or(Endpoint{});
  absl::StatusOr<Endpoint> endpoint = ParseEndpoint(*text);
  if (endpoint.ok()) return *endpoint;
  Fail(key, ErrorText(endpoint.status()));
  return {};
}

std::size_t YamlReader::Choice(const char* key, const std::vector<std::string>& choices,
                               std::optional<std::size_t> fallback) const {
  std::optional<std::string> text = Scalar(key, !fallback.has_value(), "a text");
  if (!text.has_value()) return fallback.value_or(0);
  auto it = std::find(choices.begin(), choices.end(), *text);
  if (it != choices.end()) return it - choices.begin();
  Fail(key, fmt::format("expected one of {}, found \"{}\"", fmt::join(choices, ", "), *text));
  return 0;
}

nanoseconds YamlReader::ReadSpan(const char* key, nanoseconds min, nanoseconds max,
                                 nanoseconds resolution,
                                 std::optional<nanoseconds> fallback) const {
  std::optional<std::string> text =
      Scalar(key, !fallback.has_value(), "a time span with a unit, for example 70ms");
  if (!text.has_value()) return fallback.value_or(min);
  std::optional<nanoseconds> span = ParseSpan(*text);
  if (!span.has_value()) {
    Fail(key, fmt::format("expected a whole number with a unit us, ms, s, min or h, found \"{}\"",
                          *text));
    return min;
  }
  if (*span < min || *span > max || *span % resolution != nanoseconds(0)) {
    Fail(key, fmt::format("expected a time span from {} to {} in steps of {}, found \"{}\"",
                          FormatSpan(min), FormatSpan(max), FormatSpan(resolution), *text));
    return min;
  }
  return *span;
}

YamlReader YamlReader::Map(const char* key) const {
  YAML::Node value = Find(key);
  if (value.IsDefined()) {
    if (value.IsMap()) return {file_, value, errors_};
    Fail(key, "expected a mapping");
  }
  return {file_, YAML::Node(YAML::NodeType::Map), errors_};
}

std::vector<YamlReader> YamlReader::Maps(const char* key) const {
  std::vector<YamlReader> entries;
  YAML::Node value = Find(key);
  if (!value.IsDefined()) return entries;
  if (!value.IsSequence() || value.size() > kMaxListEntries) {
    Fail(key, fmt::format("expected a list of at most {} mappings", kMaxListEntries));
    return entries;
  }
  for (const YAML::Node& entry : value) {
    if (!entry.IsMap()) {
      FailAt(entry.Mark(), fmt::format("{}: expected a mapping", key));
      return {};
    }
    entries.push_back({file_, entry, errors_});
  }
  return entries;
}

std::vector<std::string> YamlReader::Strings(const char* key) const {
  std::vector<std::string> entries;
  YAML::Node value = Find(key);
  if (!value.IsDefined()) return entries;
  if (!value.IsSequence() || value.size() > kMaxListEntries) {
    Fail(key, fmt::format("expected a list of at most {} texts", kMaxListEntries));
    return entries;
  }
  for (const YAML::Node& entry : value) {
    if (!entry.IsScalar() || entry.Scalar().empty() || entry.Scalar().size() > kMaxTextBytes) {
      FailAt(entry.Mark(), fmt::format("{}: expected a text", key));
      return {};
    }
    entries.push_back(entry.Scalar());
  }
  return entries;
}

}  // namespace damaskroute
