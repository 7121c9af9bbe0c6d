#ifndef STANDINS_REQUEST_TARGET_H_
#define STANDINS_REQUEST_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskroute::standins {

/// Path of a request target, without the query string.
std::string_view TargetPath(std::string_view target);

/// Value of the numeric query parameter `name`, nullopt if absent or malformed.
std::optional<std::uint64_t> NumericQueryParameter(std::string_view target, std::string_view name);

/// Percent-decoded value of the query parameter `name`, nullopt if absent or malformed.
std::optional<std::string> StringQueryParameter(std::string_view target, std::string_view name);

/// Decodes `%XX` sequences. Returns nullopt if one is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

/// Parses an unsigned decimal integer. Returns nullopt for any other text.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_REQUEST_TARGET_H_
