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

/// Prefix of the chunk keys; the content hash of the chunk follows.
inline constexpr char kConfigChunkPrefix[] = "damaskroute/config/chunk/";

/// Revisions that the head remembers.
inline constexpr std::size_t kMaxHeadEntries = 256;

/// One committed revision.
struct HeadEntry {
  Revision revision = 0;
  std::string change_id;
  std::string manifest;  ///< Content hash of the chunk list, itself stored as a chunk.
  std::chrono::system_clock::time_point committed_at;  ///< By the committing node's clock.
  std::string summary;                                 ///< One line for operators.

  friend bool operator==(const HeadEntry&, const HeadEntry&) = default;
};

/// Value of the head key: the latest revisions, oldest first, without gaps. The last one is in
/// force.
struct ConfigHead {
  std::vector<HeadEntry> entries;

  /// Revision in force, 0 if there is none.
  Revision revision() const { return entries.empty() ? 0 : entries.back().revision; }

  /// Entry of a revision, nullptr if the head does not remember it.
  const HeadEntry* Find(Revision revision) const;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// A head with the version of its key in the store; version 0 if the key does not exist.
struct VersionedHead {
  ConfigHead head;
  std::uint64_t version = 0;
};

/// JSON of a head, below 1 MB for change ids up to 64 bytes and summaries up to 200 bytes.
/// Times are kept in milliseconds.
std::string EncodeHead(const ConfigHead& head);

/// Reverse of `EncodeHead`. InvalidArgument for anything else.
absl::StatusOr<ConfigHead> DecodeHead(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_CONFIG_HEAD_H_
