#ifndef DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_
#define DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

/// Maximum size of a document in bytes, so that it fits into one message.
inline constexpr std::size_t kMaxDocumentSize = 15 << 20;

/// Returns a delta that turns `base` into `target`: ranges to copy from the base and new bytes.
/// Finds common ranges of at least 32 bytes, also if they have moved.
std::string MakeDelta(std::string_view base, std::string_view target);

/// Applies a delta to `base`. Returns nullopt if the delta is malformed, does not fit `base` or
/// results in a document larger than `kMaxDocumentSize`. The caller checks the content hash.
std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta);

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_DOCUMENT_DELTA_H_
