#ifndef DAMASKROUTE_CORE_ERROR_TEXT_H_
#define DAMASKROUTE_CORE_ERROR_TEXT_H_

#include <string>

#include "absl/status/status.h"

namespace damaskroute {

/// Message of `status` as a standard string. In Debian's build of Abseil, absl::string_view is a
/// separate type that neither fmt nor std::string_view accepts.
inline std::string ErrorText(const absl::Status& status) {
  std::string text(status.message());
  return text;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_ERROR_TEXT_H_
