#include "damaskroute/intent/commit_resolver.h"

#include <algorithm>
#include <set>
#include <utility>

#include "damaskroute/config/config_codec.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/intent/chunks.h"
#include "fmt/format.h"

namespace damaskroute {

CommitResolver::CommitResolver(CommitRequest request, int max_failures)
    : request_(std::move(request)),
      manifest_(EncodeManifest(request_.chunks)),
      max_failures_(max_failures) {
  ReadHead();
}

void CommitResolver::ReadHead() {
  phase_ = Phase::kReadHead;
  step_ = ReadValue{kConfigHeadKey};
}

void CommitResolver::OnRead(const absl::Status& status, const std::string& value,
                            std::uint64_t version) {
  if (phase_ == Phase::kReadBaseManifest) {
    OnBaseManifest(status, value);
  } else {
    OnHead(status, value, version);
  }
}

void CommitResolver::OnHead(const absl::Status& status, const std::string& value,
                            std::uint64_t version) {
  VersionedHead found;
  if (status.ok()) {
    absl::StatusOr<ConfigHead> head = DecodeHead(value);
    if (!head.ok()) {
      Finish(swap_may_have_taken_effect_ ? CommitResult::kUnknown : CommitResult::kUnavailable, 0,
             ErrorText(head.status()));
      return;
    }
    found = {*std::move(head), version};
  } else if (!absl::IsNotFound(status)) {
    CountFailure(status);  // Retries the read.
    return;
  }
  Revision new_revision = request_.base_revision + 1;
  if (const HeadEntry* entry = found.head.Find(new_revision); entry != nullptr) {
    bool committed = entry->change_id == request_.change_id;
    Finish(committed ? CommitResult::kCommitted : CommitResult::kConflict,
           committed ? new_revision : found.head.revision(),
           committed ? ""
                     : fmt::format("revision {} was made by another change: {}", new_revision,
                                   entry->summary));
    return;
  }
  if (found.head.revision() > request_.base_revision) {
    Finish(CommitResult::kUnknown, found.head.revision(),
           fmt::format("revision {} is older than the {} revisions that the store keeps",
                       new_revision, kMaxHeadEntries));
    return;
  }
  if (found.head.revision() < request_.base_revision) {
    Finish(CommitResult::kConflict, found.head.revision(),
           fmt::format("the store has revision {}, the plan was made for revision {}",
                       found.head.revision(), request_.base_revision));
    return;
  }
  base_ = std::move(found);
  if (writes_collected_) {
    WriteNextChunk();
  } else if (base_.head.entries.empty()) {
    CollectWrites({});
  } else {
    phase_ = Phase::kReadBaseManifest;
    step_ = ReadValue{kConfigChunkPrefix + base_.head.entries.back().manifest};
  }
}

void CommitResolver::OnBaseManifest(const absl::Status& status, const std::string& value) {
  if (!status.ok() && !absl::IsNotFound(status)) {
    CountFailure(status);  // Retries the read.
    return;
  }
  absl::StatusOr<std::vector<std::string>> known = DecodeManifest(value);
  CollectWrites(status.ok() && known.ok() ? *known : std::vector<std::string>{});
}

void CommitResolver::CollectWrites(const std::vector<std::string>& known) {
  writes_collected_ = true;
  std::set<std::string> present(known.begin(), known.end());
  if (!base_.head.entries.empty()) present.insert(base_.head.entries.back().manifest);
  auto add = [&](const std::string& value) {
    std::string hash = Sha256Hex(value);
    if (present.insert(hash).second) writes_.emplace_back(kConfigChunkPrefix + hash, value);
  };
  // Written from the back: first the chunks, then the manifest that refers to them.
  add(manifest_);
  for (const std::string& chunk : request_.chunks) add(chunk);
  WriteNextChunk();
}

void CommitResolver::WriteNextChunk() {
  if (writes_.empty()) {
    SwapHead();
    return;
  }
  phase_ = Phase::kWriteChunks;
  step_ = SwapValue{writes_.back().first, 0, writes_.back().second};
}

void CommitResolver::SwapHead() {
  phase_ = Phase::kSwapHead;
  ConfigHead next = base_.head;
  if (next.entries.size() >= kMaxHeadEntries) next.entries.erase(next.entries.begin());
  next.entries.push_back({request_.base_revision + 1, request_.change_id, Sha256Hex(manifest_),
                          request_.committed_at, request_.summary});
  step_ = SwapValue{kConfigHeadKey, base_.version, EncodeHead(next)};
}

void CommitResolver::OnSwapped(const absl::Status& status) {
  if (phase_ == Phase::kWriteChunks) {
    // Aborted: the chunk exists already; its key is the hash of its content.
    if (!status.ok() && !absl::IsAborted(status)) {
      CountFailure(status);  // Retries the write.
      return;
    }
    writes_.pop_back();
    WriteNextChunk();
    return;
  }
  if (status.ok()) {
    Finish(CommitResult::kCommitted, request_.base_revision + 1, "");
    return;
  }
  if (absl::IsAborted(status)) {
    // Either an earlier swap of this commit whose response was lost, or another change. The limit
    // guards against a store that refuses the version that it has just returned.
    if (++conflicts_ <= max_failures_ || CountFailure(status)) ReadHead();
    return;
  }
  bool retry_same = absl::IsUnavailable(status);
  swap_may_have_taken_effect_ = swap_may_have_taken_effect_ || !retry_same;
  if (CountFailure(status) && !retry_same) ReadHead();
}

// Keeps the current step, so that it is retried. False if the commit has failed.
bool CommitResolver::CountFailure(const absl::Status& status) {
  if (++failures_ <= max_failures_) return true;
  std::string detail = fmt::format("the store did not answer: {}", ErrorText(status));
  if (swap_may_have_taken_effect_) {
    Finish(CommitResult::kUnknown, base_.head.revision(),
           detail + "; the change may have taken effect, confirm again to find out");
  } else {
    Finish(CommitResult::kUnavailable, base_.head.revision(),
           detail + "; nothing has changed, confirm again later");
  }
  return false;
}

void CommitResolver::Finish(CommitResult result, Revision revision, std::string detail) {
  step_ = CommitOutcome{result, revision, std::move(detail)};
}

}  // namespace damaskroute
