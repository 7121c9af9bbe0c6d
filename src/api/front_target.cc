#include "damaskroute/api/front_target.h"

namespace damaskroute {

std::optional<FrontTarget> ParseFrontTarget(std::string_view target) {
  constexpr std::string_view kPrefix = "/v1/fronts/";
  target = target.substr(0, target.find('?'));
  if (!target.starts_with(kPrefix)) return std::nullopt;
  target.remove_prefix(kPrefix.size());
  std::size_t slash = target.find('/');
  if (slash == 0 || slash == std::string_view::npos) return std::nullopt;
  FrontTarget result{FrontName(target.substr(0, slash)), target.substr(slash + 1)};
  if (result.operation.empty() || result.operation.find('/') != std::string_view::npos) {
    return std::nullopt;
  }
  return result;
}

}  // namespace damaskroute
