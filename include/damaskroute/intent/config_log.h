#ifndef DAMASKROUTE_INTENT_CONFIG_LOG_H_
#define DAMASKROUTE_INTENT_CONFIG_LOG_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/config/config_codec.h"
#include "damaskroute/config/config_document.h"
#include "damaskroute/intent/chunks.h"
#include "damaskroute/intent/commit_resolver.h"
#include "damaskroute/intent/config_head.h"

namespace damaskroute {

// The functions in this file access a store that models the concept ConfigStore: `Get` (NotFound
// if the key is absent) and `CompareAndSwap` (expected version 0: the key must not exist; Aborted:
// version conflict; Unavailable: certainly no effect; Unknown: effect unknown).

/// The head with its version; an empty head with version 0 if nothing has been committed.
template <typename Store>
absl::StatusOr<VersionedHead> ReadHead(Store& store) {
  auto stored = store.Get(kConfigHeadKey);
  if (absl::IsNotFound(stored.status())) return VersionedHead{};
  if (!stored.ok()) return stored.status();
  absl::StatusOr<ConfigHead> head = DecodeHead(stored->value);
  if (!head.ok()) return head.status();
  return VersionedHead{*std::move(head), stored->version};
}

namespace internal {

/// Maximum size of an encoded document.
inline constexpr std::size_t kMaxDocumentBytes = 64 << 20;

template <typename Store>
absl::StatusOr<std::string> ReadChunk(Store& store, const std::string& hash) {
  auto stored = store.Get(kConfigChunkPrefix + hash);
  if (absl::IsNotFound(stored.status())) {
    return absl::DataLossError("a chunk of the configuration is missing: " + hash);
  }
  if (!stored.ok()) return stored.status();
  if (Sha256Hex(stored->value) != hash) {
    return absl::DataLossError("a chunk of the configuration does not match its hash: " + hash);
  }
  return std::move(stored->value);
}

}  // namespace internal

/// Reads the document of a revision, verifies its hashes and sets its revision and change id.
/// Returns errors of the store; DataLoss if a chunk is missing or does not match its hash.
template <typename Store>
absl::StatusOr<ConfigDocument> ReadDocument(Store& store, const HeadEntry& entry) {
  absl::StatusOr<std::string> manifest = internal::ReadChunk(store, entry.manifest);
  if (!manifest.ok()) return manifest.status();
  absl::StatusOr<std::vector<std::string>> hashes = DecodeManifest(*manifest);
  if (!hashes.ok()) return hashes.status();
  std::string bytes;
  for (const std::string& hash : *hashes) {
    absl::StatusOr<std::string> chunk = internal::ReadChunk(store, hash);
    if (!chunk.ok()) return chunk.status();
    bytes += *chunk;
    if (bytes.size() > internal::kMaxDocumentBytes) {
      return absl::DataLossError("the configuration is larger than 64 MB");
    }
  }
  absl::StatusOr<ConfigDocument> document = DecodeConfig(bytes);
  if (!document.ok()) return document.status();
  document->revision = entry.revision;
  document->change_id = entry.change_id;
  return document;
}

/// Performs the next step of `resolver`, which must not be done, against `store`.
template <typename Store>
void PerformStep(Store& store, CommitResolver& resolver) {
  CommitStep step = resolver.step();
  if (const auto* read = std::get_if<ReadValue>(&step)) {
    auto stored = store.Get(read->key);
    resolver.OnRead(stored.status(), stored.ok() ? stored->value : std::string(),
                    stored.ok() ? stored->version : 0);
  } else if (const auto* swap = std::get_if<SwapValue>(&step)) {
    resolver.OnSwapped(
        store.CompareAndSwap(swap->key, swap->expected_version, swap->value).status());
  }
}

/// Commits a change. Calls `pause(n)` after the n-th failure, before the next step. The timeouts
/// of the store and the maximum number of failures bound the duration.
template <typename Store, typename Pause>
CommitOutcome RunCommit(Store& store, CommitResolver resolver, Pause pause) {
  while (!resolver.done()) {
    int failures = resolver.failures();
    PerformStep(store, resolver);
    if (resolver.failures() > failures && !resolver.done()) pause(resolver.failures());
  }
  return std::get<CommitOutcome>(resolver.step());
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_CONFIG_LOG_H_
