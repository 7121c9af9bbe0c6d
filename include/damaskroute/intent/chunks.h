#ifndef DAMASKROUTE_INTENT_CHUNKS_H_
#define DAMASKROUTE_INTENT_CHUNKS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace damaskroute {

/// Chunk sizes in bytes. The store accepts values up to 1 MB.
struct ChunkSizes {
  std::size_t min = 16 << 10;
  std::size_t average = 64 << 10;  ///< Power of two.
  std::size_t max = 512 << 10;
};

/// Splits `bytes` where a rolling hash of the preceding bytes matches a pattern (content-defined
/// chunking). An insertion therefore changes only the adjacent chunks, and a commit writes about
/// 100 KB instead of the 2.4 MB of a document with 36,000 backend servers.
std::vector<std::string> SplitChunks(std::string_view bytes, ChunkSizes sizes = {});

/// Manifest (chunk list) of a document: the content hashes of `chunks`, one per line.
std::string EncodeManifest(const std::vector<std::string>& chunks);

/// Content hashes in a manifest. InvalidArgument if `text` is not a manifest or has more than
/// 4,096 entries.
absl::StatusOr<std::vector<std::string>> DecodeManifest(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_CHUNKS_H_
