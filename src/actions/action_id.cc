#include "damaskroute/actions/action_id.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "damaskroute/core/name_character.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

// Parses the number before the next dot and removes both from `text`.
std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  std::uint64_t number = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  auto length = static_cast<std::size_t>(parsed.ptr - text.data());
  if (parsed.ec != std::errc() || length >= text.size() || *parsed.ptr != '.') return std::nullopt;
  // A leading zero would allow two texts for one id.
  if (text.front() == '0') return std::nullopt;
  text.remove_prefix(length + 1);
  return number;
}

}  // namespace

std::string FormatActionId(const ActionId& id) {
  return fmt::format("{}.{}.{}", id.counter, id.incarnation, id.issuer);
}

absl::StatusOr<ActionId> ParseActionId(std::string_view text) {
  std::optional<std::uint64_t> counter = TakeNumber(text);
  std::optional<std::uint64_t> incarnation = counter ? TakeNumber(text) : std::nullopt;
  bool valid = incarnation && !text.empty() && text.size() <= kMaxIssuerLength &&
               std::all_of(text.begin(), text.end(), IsNameCharacter);
  if (!valid) return absl::InvalidArgumentError("expected an action id COUNTER.INCARNATION.ISSUER");
  return ActionId{std::string(text), *incarnation, *counter};
}

}  // namespace damaskroute
