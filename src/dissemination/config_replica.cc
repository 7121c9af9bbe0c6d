#include "damaskroute/dissemination/config_replica.h"

#include <algorithm>
#include <utility>

#include "damaskroute/core/hash.h"
#include "damaskroute/dissemination/document_delta.h"

namespace damaskroute {
namespace {

// Maximum number of peers remembered as having a newer revision; a few suffice to retry a lost
// pull.
constexpr std::size_t kMaxNewerPeers = 16;

}  // namespace

ConfigReplica::ConfigReplica(ReplicaOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

ReplicaActions ConfigReplica::OnStoreDocument(TimePoint now, Revision revision,
                                              std::string document) {
  ReplicaActions actions;
  store_contact_ = std::max(store_contact_, now);
  ContentHash hash = Hash64(document);
  if (revision == revision_ && hash != hash_) ++conflicts_;
  if (revision <= revision_ || document.size() > kMaxDocumentSize) return actions;
  if (document_ != nullptr) {
    std::string delta = MakeDelta(*document_, document);
    KeepDelta({revision_, hash_, revision, hash, std::move(delta)});
  }
  Install(now, revision, hash, std::move(document), actions);
  return actions;
}

void ConfigReplica::OnStoreContact(TimePoint now) {
  store_contact_ = std::max(store_contact_, now);
}

ReplicaActions ConfigReplica::OnRevisionSeen(TimePoint now, const Endpoint& member,
                                             Revision revision, TimePoint store_contact) {
  ReplicaActions actions;
  store_contact_ = std::max(store_contact_, std::min(store_contact, now));
  RecordPeerRevision(now, member, revision);
  if (revision > revision_ && !pull_.has_value()) Pull(now, member, /*whole=*/false, actions);
  return actions;
}

ReplicaActions ConfigReplica::OnAnnounce(TimePoint now, const Endpoint& from,
                                         const ConfigAnnounce& announce) {
  ReplicaActions actions;
  if (announce.revision == revision_ && announce.hash != hash_) ++conflicts_;
  RecordPeerRevision(now, from, announce.revision);
  if (announce.revision > revision_ && !pull_.has_value()) {
    Pull(now, from, /*whole=*/false, actions);
  } else if (pull_.has_value() && pull_->from == from && announce.revision <= revision_) {
    // The peer that was pulled from has no newer revision.
    pull_.reset();
    PullFromNewerPeer(now, actions);
  }
  return actions;
}

ReplicaActions ConfigReplica::OnPull(TimePoint now, const Endpoint& from, const ConfigPull& pull) {
  ReplicaActions actions;
  if (pull.base_revision >= revision_) {
    RecordPeerRevision(now, from, pull.base_revision);
    actions.push_back(SendToPeer{from, ConfigAnnounce{revision_, hash_}});
    return actions;
  }
  ConfigData data{revision_, hash_, 0, {}, {}};
  auto first = std::find_if(deltas_.begin(), deltas_.end(), [&](const Delta& delta) {
    return delta.base_revision == pull.base_revision && delta.base_hash == pull.base_hash;
  });
  std::size_t size = 0;
  for (auto it = first; it != deltas_.end(); ++it) size += it->bytes.size();
  if (first != deltas_.end() && size < document_->size()) {
    data.base_revision = pull.base_revision;
    for (auto it = first; it != deltas_.end(); ++it) data.deltas.push_back(it->bytes);
  } else {
    data.document = *document_;
  }
  actions.push_back(SendToPeer{from, std::move(data)});
  return actions;
}

ReplicaActions ConfigReplica::OnData(TimePoint now, const Endpoint& from, const ConfigData& data) {
  ReplicaActions actions;
  RecordPeerRevision(now, from, data.revision);
  bool requested = pull_.has_value() && pull_->from == from;
  if (data.revision > revision_) {
    if (data.base_revision == 0) {
      if (data.document.size() <= kMaxDocumentSize && Hash64(data.document) == data.hash) {
        deltas_.clear();
        delta_bytes_ = 0;
        Install(now, data.revision, data.hash, data.document, actions);
        return actions;
      }
      ++rejected_;
      newer_peers_.erase(from);
    } else if (data.base_revision == revision_) {
      if (InstallDeltas(now, data, actions)) return actions;
      ++rejected_;
      // The base has the same revision but different contents, so the whole document is needed.
      if (requested) Pull(now, from, /*whole=*/true, actions);
      return actions;
    }
    // Otherwise this is a late response to an earlier pull, whose base is no longer current.
  }
  if (requested) {
    pull_.reset();
    PullFromNewerPeer(now, actions);
  }
  return actions;
}

bool ConfigReplica::InstallDeltas(TimePoint now, const ConfigData& data, ReplicaActions& actions) {
  if (document_ == nullptr || data.deltas.empty() || data.deltas.size() > options_.max_deltas) {
    return false;
  }
  std::optional<std::string> document;
  for (const std::string& delta : data.deltas) {
    document = ApplyDelta(document.has_value() ? *document : *document_, delta);
    if (!document.has_value()) return false;
  }
  if (Hash64(*document) != data.hash) return false;
  // A single delta is kept as received. Several are merged, because the hashes of the intermediate
  // documents are not known here.
  std::string delta = data.deltas.size() == 1 ? data.deltas[0] : MakeDelta(*document_, *document);
  KeepDelta({revision_, hash_, data.revision, data.hash, std::move(delta)});
  Install(now, data.revision, data.hash, *std::move(document), actions);
  return true;
}

void ConfigReplica::KeepDelta(Delta delta) {
  delta_bytes_ += delta.bytes.size();
  deltas_.push_back(std::move(delta));
  while (deltas_.size() > options_.max_deltas || delta_bytes_ > options_.max_delta_bytes) {
    delta_bytes_ -= deltas_.front().bytes.size();
    deltas_.pop_front();
  }
}

void ConfigReplica::Install(TimePoint now, Revision revision, ContentHash hash,
                            std::string document, ReplicaActions& actions) {
  revision_ = revision;
  hash_ = hash;
  document_ = std::make_shared<const std::string>(std::move(document));
  pull_.reset();
  std::erase_if(newer_peers_, [&](const auto& peer) { return peer.second <= revision_; });
  missing_since_ = now;
  max_seen_revision_ = std::max(max_seen_revision_, revision_);
  actions.push_back(DocumentInstalled{revision_, document_});
  Announce(actions);
  PullFromNewerPeer(now, actions);
}

void ConfigReplica::Announce(ReplicaActions& actions) {
  for (const Endpoint& peer : announce_to_) {
    actions.push_back(SendToPeer{peer, ConfigAnnounce{revision_, hash_}});
  }
}

void ConfigReplica::RecordPeerRevision(TimePoint now, const Endpoint& peer, Revision revision) {
  if (revision <= revision_) {
    newer_peers_.erase(peer);
    return;
  }
  if (max_seen_revision_ <= revision_) missing_since_ = now;
  max_seen_revision_ = std::max(max_seen_revision_, revision);
  auto it = newer_peers_.find(peer);
  if (it != newer_peers_.end()) {
    it->second = std::max(it->second, revision);
  } else if (newer_peers_.size() < kMaxNewerPeers) {
    newer_peers_.emplace(peer, revision);
  }
}

void ConfigReplica::Pull(TimePoint now, const Endpoint& from, bool whole, ReplicaActions& actions) {
  pull_ = PendingPull{from, now + options_.pull_timeout};
  ConfigPull pull{whole ? 0 : revision_, whole ? 0 : hash_};
  actions.push_back(SendToPeer{from, pull});
}

void ConfigReplica::PullFromNewerPeer(TimePoint now, ReplicaActions& actions) {
  if (pull_.has_value() || newer_peers_.empty()) return;
  auto it = newer_peers_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_.Below(newer_peers_.size())));
  Pull(now, it->first, /*whole=*/false, actions);
}

ReplicaActions ConfigReplica::OnPeerLost(TimePoint now, const Endpoint& peer) {
  ReplicaActions actions;
  newer_peers_.erase(peer);
  if (pull_.has_value() && pull_->from == peer) {
    pull_.reset();
    PullFromNewerPeer(now, actions);
  }
  return actions;
}

ReplicaActions ConfigReplica::OnTimer(TimePoint now) {
  ReplicaActions actions;
  if (pull_.has_value() && now >= pull_->deadline) {
    // The peer may still respond; it is retried only if no other peer is known.
    Endpoint overdue_peer = pull_->from;
    pull_.reset();
    if (newer_peers_.size() > 1) newer_peers_.erase(overdue_peer);
    PullFromNewerPeer(now, actions);
  }
  if (revision_ == 0 && !pull_.has_value() && !peers_.empty() && now >= next_bootstrap_) {
    next_bootstrap_ = now + options_.bootstrap_period;
    Pull(now, peers_[random_.Below(peers_.size())], /*whole=*/true, actions);
  }
  return actions;
}

TimePoint ConfigReplica::NextTimer() const {
  if (pull_.has_value()) return pull_->deadline;
  return revision_ == 0 && !peers_.empty() ? next_bootstrap_ : TimePoint::max();
}

void ConfigReplica::SetPeers(std::vector<Endpoint> peers) {
  peers_ = std::move(peers);
  std::sort(peers_.begin(), peers_.end());
  std::erase_if(announce_to_, [&](const Endpoint& peer) {
    return !std::binary_search(peers_.begin(), peers_.end(), peer);
  });
  while (announce_to_.size() < std::min(options_.fan_out, peers_.size())) {
    const Endpoint& peer = peers_[random_.Below(peers_.size())];
    if (std::find(announce_to_.begin(), announce_to_.end(), peer) == announce_to_.end()) {
      announce_to_.push_back(peer);
    }
  }
}

ReplicaStatus ConfigReplica::Status(TimePoint now) const {
  ReplicaStatus status{revision_, hash_, max_seen_revision_, {}, false, rejected_, conflicts_};
  status.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - store_contact_);
  status.behind = revision_ == 0 || status.age > options_.behind_after ||
                  (max_seen_revision_ > revision_ && now - missing_since_ > options_.missing_after);
  return status;
}

}  // namespace damaskroute
