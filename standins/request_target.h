#ifndef STANDINS_REQUEST_TARGET_H_
#define STANDINS_REQUEST_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskroute::standins {

/// Path of a request target, without the query.
std::string_view PathOf(std::string_view target);

/// Number in the query parameter `name`, nullopt if it is absent or malformed.
std::optional<std::uint64_t> QueryNumber(std::string_view target, std::string_view name);

/// Decoded text in the query parameter `name`, nullopt if it is absent or malformed.
std::optional<std::string> QueryText(std::string_view target, std::string_view name);

/// Decodes `%XX`. nullopt if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

/// Whole decimal number, nullopt for any other text.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace damaskroute::standins

#endif  // STANDINS_REQUEST_TARGET_H_
