#ifndef DAMASKROUTE_SETTINGS_YAML_ERRORS_H_
#define DAMASKROUTE_SETTINGS_YAML_ERRORS_H_

#include <string>

#include "absl/status/status.h"

namespace damaskroute {

/// Keeps the first error of a document. Later errors are dropped, because they often follow from
/// the first.
class YamlErrors {
 public:
  /// Records `FILE:LINE:COLUMN: expected`. `line` and `column` count from 1.
  void Add(const std::string& file, int line, int column, const std::string& expected);

  /// OK, or the first error as InvalidArgument.
  const absl::Status& status() const { return status_; }

 private:
  absl::Status status_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_YAML_ERRORS_H_
