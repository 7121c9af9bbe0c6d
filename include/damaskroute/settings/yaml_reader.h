#ifndef DAMASKROUTE_SETTINGS_YAML_READER_H_
#define DAMASKROUTE_SETTINGS_YAML_READER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/settings/yaml_errors.h"
#include "yaml-cpp/yaml.h"

namespace damaskroute {

/// Reads one YAML mapping and validates its keys, types, units and ranges.
///
/// Errors are recorded in the `YamlErrors` given to `Parse`. A call that fails still returns a
/// value, a fallback or a default, so a parse function can read all fields and check the status
/// once:
///
///     YamlErrors errors;
///     YamlReader root = YamlReader::Parse("node.yaml", text, &errors);
///     root.ExpectKeys({"loops", "probe_interval"});
///     settings.loops = root.Integer("loops", 1, 64, 4);
///     settings.probe = root.Span<std::chrono::milliseconds>("probe_interval", 10ms, 10s, 500ms);
///     if (!errors.status().ok()) return errors.status();
///
/// A field without a fallback is required.
class YamlReader {
 public:
  /// Parses `text`, whose root must be a mapping. `errors` must outlive the reader. An empty text
  /// is an empty mapping.
  static YamlReader Parse(const std::string& file, const std::string& text, YamlErrors* errors);

  /// Fails on a key that is not listed and on a key given twice.
  void ExpectKeys(std::initializer_list<const char*> keys) const;

  bool Has(const char* key) const;

  /// Non-empty string of at most 4096 bytes.
  std::string String(const char* key,
                     const std::optional<std::string>& fallback = std::nullopt) const;

  /// Name of 1 to 64 characters from a-z, A-Z, 0-9, `.`, `_` and `-`.
  std::string Name(const char* key,
                   const std::optional<std::string>& fallback = std::nullopt) const;

  /// Integer from `min` to `max`.
  std::int64_t Integer(const char* key, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> fallback = std::nullopt) const;

  /// Number from `min` to `max`.
  double Number(const char* key, double min, double max,
                std::optional<double> fallback = std::nullopt) const;

  /// `true` or `false`.
  bool Boolean(const char* key, std::optional<bool> fallback = std::nullopt) const;

  /// IP address and port, as `127.0.0.1:8080`.
  Endpoint Address(const char* key, const std::optional<Endpoint>& fallback = std::nullopt) const;

  /// Time span with its unit (`us`, `ms`, `s`, `min`, `h`), from `min` to `max` and a multiple of
  /// the resolution of D.
  template <typename D>
  D Span(const char* key, D min, D max, std::optional<D> fallback = std::nullopt) const {
    std::optional<std::chrono::nanoseconds> given;
    if (fallback.has_value()) given = *fallback;
    return std::chrono::duration_cast<D>(ReadSpan(key, min, max, D(1), given));
  }

  /// Index of the value in `choices`.
  std::size_t Choice(const char* key, const std::vector<std::string>& choices,
                     std::optional<std::size_t> fallback = std::nullopt) const;

  /// The nested mapping; an empty one if the key is absent.
  YamlReader Map(const char* key) const;

  /// The nested list of mappings; empty if the key is absent. At most 100,000 entries.
  std::vector<YamlReader> Maps(const char* key) const;

  /// The nested list of strings; empty if the key is absent.
  std::vector<std::string> Strings(const char* key) const;

  /// Records an error at the value of `key`, or at the mapping if the key is absent.
  void Fail(const char* key, const std::string& expected) const;

 private:
  YamlReader(std::string file, const YAML::Node& node, YamlErrors* errors)
      : file_(std::move(file)), node_(node), errors_(errors) {}

  YAML::Node Find(const char* key) const;
  std::optional<std::string> Scalar(const char* key, bool required, const char* expected) const;
  std::chrono::nanoseconds ReadSpan(const char* key, std::chrono::nanoseconds min,
                                    std::chrono::nanoseconds max,
                                    std::chrono::nanoseconds resolution,
                                    std::optional<std::chrono::nanoseconds> fallback) const;
  void FailAt(const YAML::Mark& mark, const std::string& expected) const;

  std::string file_;
  YAML::Node node_;
  YamlErrors* errors_;
};

/// Formats a time span as the shortest text that `YamlReader::Span` parses to the same value.
std::string FormatSpan(std::chrono::nanoseconds span);

/// Reverse of `FormatSpan`; nullopt if the unit is missing, the number is negative or the value
/// overflows.
std::optional<std::chrono::nanoseconds> ParseSpan(const std::string& text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_YAML_READER_H_
