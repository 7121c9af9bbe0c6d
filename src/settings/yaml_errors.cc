#include "damaskroute/settings/yaml_errors.h"

#include "fmt/format.h"

namespace damaskroute {

void YamlErrors::Add(const std::string& file, int line, int column, const std::string& expected) {
  if (!status_.ok()) return;
  status_ = absl::InvalidArgumentError(fmt::format("{}:{}:{}: {}", file, line, column, expected));
}

}  // namespace damaskroute
