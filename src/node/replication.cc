#include "damaskroute/node/replication.h"

#include <algorithm>
#include <utility>

#include "damaskroute/core/error_text.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/dissemination/config_reader.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {
namespace {

constexpr std::chrono::milliseconds kTimerPeriod{100};

TimePoint Now() { return SteadyClock().Now(); }

// The roster has messages of its own; there is one roster, so the zone stays empty.
Message AboutRoster(const ConfigAnnounce& message) { return RosterAnnounce{{}, message}; }
Message AboutRoster(const ConfigPull& message) { return RosterPull{{}, message}; }
Message AboutRoster(const ConfigData& message) { return RosterData{{}, message}; }

}  // namespace

Replication::Replication(EventLoop& loop, const Member& self, const PeerKeys& keys,
                         ReplicationHooks hooks)
    : hooks_(std::move(hooks)),
      config_(ReplicaOptions{}, Hash64(self.node, self.incarnation)),
      roster_(ReplicaOptions{}, Hash64(self.node, self.incarnation + 1)),
      membership_(
          loop.context(), self, keys, SwimOptions{}, Hash64(self.node, self.incarnation),
          MembershipHandlers{
              [this](const Endpoint& to, const MembersPull& pull) { hooks_.send(to, pull); },
              [this](const MemberChanged& change) {
                MembersChanged();
                hooks_.member_changed(change.member);
              },
              [this](const MemberForgotten& forgotten) {
                peer_revisions_.erase(forgotten.node);
                MembersChanged();
              },
              [this](const RevisionsSeen& seen) { OnRevisions(seen); },
              [this](const SelfSuperseded&) { hooks_.superseded(); },
              hooks_.drop_datagram,
              hooks_.is_cut,
          }),
      timer_(loop.context()),
      members_timer_(loop.context()) {}

void Replication::Start(std::vector<Endpoint> seeds) {
  membership_.Start(std::move(seeds));
  UpdatePeers();
  ArmTimer();
}

bool Replication::OnMessage(const Endpoint& from, const Message& message) {
  if (const auto* announce = std::get_if<ConfigAnnounce>(&message)) {
    Do(config_.OnAnnounce(Now(), from, *announce), false);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    Do(config_.OnPull(Now(), from, *pull), false);
  } else if (const auto* data = std::get_if<ConfigData>(&message)) {
    Do(config_.OnData(Now(), from, *data), false);
  } else if (const auto* roster_announce = std::get_if<RosterAnnounce>(&message)) {
    Do(roster_.OnAnnounce(Now(), from, roster_announce->announce), true);
  } else if (const auto* roster_pull = std::get_if<RosterPull>(&message)) {
    Do(roster_.OnPull(Now(), from, roster_pull->pull), true);
  } else if (const auto* roster_data = std::get_if<RosterData>(&message)) {
    Do(roster_.OnData(Now(), from, roster_data->data), true);
  } else if (const auto* members_pull = std::get_if<MembersPull>(&message)) {
    hooks_.send(from, membership_.OnMembersPull(*members_pull));
  } else if (const auto* members = std::get_if<MembersData>(&message)) {
    membership_.OnMembersData(*members);
  } else {
    return false;
  }
  return true;
}

void Replication::OnPeerLost(const Endpoint& peer) {
  Do(config_.OnPeerLost(Now(), peer), false);
  Do(roster_.OnPeerLost(Now(), peer), true);
}

void Replication::OnStoreConfig(Revision revision, std::string document) {
  Do(config_.OnStoreDocument(Now(), revision, std::move(document)), false);
}

void Replication::OnStoreRoster(Revision revision, std::string document) {
  Do(roster_.OnStoreDocument(Now(), revision, std::move(document)), true);
}

void Replication::OnStoreContact() {
  config_.OnStoreContact(Now());
  roster_.OnStoreContact(Now());
  TellRevisions();
}

void Replication::Do(const ReplicaActions& actions, bool is_roster) {
  for (const ReplicaAction& action : actions) {
    if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
      Install(*installed, is_roster);
      continue;
    }
    const auto& send = std::get<SendToPeer>(action);
    std::visit(
        [&](const auto& message) {
          hooks_.send(send.to, is_roster ? AboutRoster(message) : Message(message));
        },
        send.message);
  }
}

void Replication::Install(const DocumentInstalled& installed, bool is_roster) {
  TellRevisions();
  absl::Status status;
  if (is_roster) {
    auto roster = DecodeRoster(*installed.document);
    status = roster.status();
    if (roster.ok()) hooks_.install_roster(*std::move(roster));
  } else {
    auto config = config_decoder_.Decode(installed.document);
    status = config.status();
    if (config.ok()) {
      config->revision = installed.revision;
      hooks_.install_config(*std::move(config));
    }
  }
  if (!status.ok()) {
    LogLine(LogLevel::kError, "cannot decode a document")
        .Field("kind", is_roster ? "roster" : "configuration")
        .Field("revision", installed.revision)
        .Field("error", ErrorText(status));
  }
}

Revision Replication::LowestConfigRevision() const {
  Revision lowest = config_.revision();
  for (const Member& member : membership_.state().LiveMembers()) {
    auto it = peer_revisions_.find(member.node);
    lowest = std::min(lowest, it == peer_revisions_.end() ? Revision{0} : it->second);
  }
  return lowest;
}

void Replication::OnRevisions(const RevisionsSeen& seen) {
  peer_revisions_[seen.node] = seen.config_revision;
  Do(config_.OnRevisionSeen(Now(), seen.endpoint, seen.config_revision, seen.store_contact), false);
  Do(roster_.OnRevisionSeen(Now(), seen.endpoint, seen.roster_revision, seen.store_contact), true);
  TellRevisions();
}

// Changes that arrive together lead to one update: a joining node learns of all members at once,
// and an update for each of 7,600 blocked the control loop for 29 s.
void Replication::MembersChanged() {
  if (std::exchange(members_changed_, true)) return;
  members_timer_.expires_after(Duration::zero());
  members_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) UpdatePeers();
  });
}

void Replication::UpdatePeers() {
  members_changed_ = false;
  std::vector<Member> live = membership_.state().LiveMembers();
  std::vector<Endpoint> peers;
  peers.reserve(live.size());
  for (const Member& member : live) peers.push_back(member.endpoint);
  config_.SetPeers(peers);
  roster_.SetPeers(std::move(peers));
  is_reader_ = IsConfigReader(membership_.state().self(), live);
}

void Replication::TellRevisions() {
  membership_.SetRevisions(config_.revision(), roster_.revision(), config_.store_contact());
}

void Replication::ArmTimer() {
  timer_.expires_after(kTimerPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    TimePoint now = Now();
    if (now >= config_.NextTimer()) Do(config_.OnTimer(now), false);
    if (now >= roster_.NextTimer()) Do(roster_.OnTimer(now), true);
    ArmTimer();
  });
}

}  // namespace damaskroute
