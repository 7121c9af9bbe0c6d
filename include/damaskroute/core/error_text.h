#ifndef DAMASKROUTE_CORE_ERROR_TEXT_H_
#define DAMASKROUTE_CORE_ERROR_TEXT_H_

#include <string>

#include "absl/status/status.h"

namespace damaskroute {

/// Message of `status` as a standard string. Debian's absl::string_view is a type of its own,
/// which fmt and std::string_view do not accept.
inline std::string ErrorText(const absl::Status& status) {
  std::string text(status.message());
  return text;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_ERROR_TEXT_H_
