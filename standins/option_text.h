#ifndef STANDINS_OPTION_TEXT_H_
#define STANDINS_OPTION_TEXT_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace damaskroute::standins {

/// Parses an option value from text. Returns false and leaves `value` unchanged if the text is
/// invalid. Durations are whole numbers with the unit us, ms or s.
bool ParseOption(std::string_view text, std::chrono::microseconds& value);
bool ParseOption(std::string_view text, std::uint64_t& value);
bool ParseOption(std::string_view text, int& value);     ///< 0 or greater.
bool ParseOption(std::string_view text, double& value);  ///< 0 or greater.
bool ParseOption(std::string_view text, bool& value);

}  // namespace damaskroute::standins

#endif  // STANDINS_OPTION_TEXT_H_
