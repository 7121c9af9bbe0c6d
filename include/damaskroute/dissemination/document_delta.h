#ifndef DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_
#define DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

/// Greatest size of a document in bytes, so that it fits into one message.
inline constexpr std::size_t kMaxDocumentSize = 15 << 20;

/// Instructions that turn `base` into `target`: parts to copy from the base and new bytes. Finds
/// parts of at least 32 bytes wherever they have moved.
std::string MakeDelta(std::string_view base, std::string_view target);

/// Result of a delta, or nullopt if it is malformed, does not fit `base` or makes a document above
/// `kMaxDocumentSize`. The caller checks the content hash.
std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta);

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_
