#ifndef DAMASKROUTE_INTENT_CONFIG_HEAD_H_
#define DAMASKROUTE_INTENT_CONFIG_HEAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Key of the head in the store.
inline constexpr char kConfigHeadKey[] = "damaskroute/config/head";

/// Prefix of the chunk keys, followed by the content hash of the chunk.
inline constexpr char kConfigChunkPrefix[] = "damaskroute/config/chunk/";

/// Maximum number of revisions in the head.
inline constexpr std::size_t kMaxHeadEntries = 256;

/// One committed revision.
struct HeadEntry {
  Revision revision = 0;
  std::string change_id;
  std::string manifest;  ///< Content hash of the manifest, which is stored as a chunk.
  std::chrono::system_clock::time_point committed_at;  ///< Clock of the committing node.
  std::string summary;                                 ///< One line for operators.

  friend bool operator==(const HeadEntry&, const HeadEntry&) = default;
};

/// Value of the head key: the latest revisions, oldest first, without gaps. The last one is in
/// force.
struct ConfigHead {
  std::vector<HeadEntry> entries;

  /// Revision in force, 0 if there is none.
  Revision revision() const { return entries.empty() ? 0 : entries.back().revision; }

  /// Entry of a revision, nullptr if the head does not contain it.
  const HeadEntry* Find(Revision revision) const;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// A head with the version of its key in the store; version 0 if the key does not exist.
struct VersionedHead {
  ConfigHead head;
  std::uint64_t version = 0;
};

/// JSON of a head, smaller than 1 MB for change ids up to 64 bytes and summaries up to 200 bytes.
/// Times have a resolution of 1 ms.
std::string EncodeHead(const ConfigHead& head);

/// Inverse of `EncodeHead`. InvalidArgument for any other text.
absl::StatusOr<ConfigHead> DecodeHead(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_CONFIG_HEAD_H_
