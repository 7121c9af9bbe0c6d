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

// Wraps a message for the roster, which has its own message types. There is one roster, so the zone
// stays empty.
Message ToRosterMessage(const ConfigAnnounce& message) { return RosterAnnounce{{}, message}; }
Message ToRosterMessage(const ConfigPull& message) { return RosterPull{{}, message}; }
Message ToRosterMessage(const ConfigData& message) { return RosterData{{}, message}; }

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
                SchedulePeerUpdate();
                hooks_.member_changed(change.member);
              },
              [this](const MemberForgotten& forgotten) {
                peer_revisions_.erase(forgotten.node);
                SchedulePeerUpdate();
              },
              [this](const RevisionsSeen& seen) { OnRevisions(seen); },
              [this](const SelfSuperseded&) { hooks_.superseded(); },
              hooks_.drop_datagram,
              hooks_.is_partitioned,
          }),
      timer_(loop.context()),
      peer_update_timer_(loop.context()) {}

void Replication::Start(std::vector<Endpoint> seeds) {
  membership_.Start(std::move(seeds));
  UpdatePeers();
  ArmTimer();
}

bool Replication::OnMessage(const Endpoint& from, const Message& message) {
  if (const auto* announce = std::get_if<ConfigAnnounce>(&message)) {
    Execute(config_.OnAnnounce(Now(), from, *announce), false);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    Execute(config_.OnPull(Now(), from, *pull), false);
  } else if (const auto* data = std::get_if<ConfigData>(&message)) {
    Execute(config_.OnData(Now(), from, *data), false);
  } else if (const auto* roster_announce = std::get_if<RosterAnnounce>(&message)) {
    Execute(roster_.OnAnnounce(Now(), from, roster_announce->announce), true);
  } else if (const auto* roster_pull = std::get_if<RosterPull>(&message)) {
    Execute(roster_.OnPull(Now(), from, roster_pull->pull), true);
  } else if (const auto* roster_data = std::get_if<RosterData>(&message)) {
    Execute(roster_.OnData(Now(), from, roster_data->data), true);
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
  Execute(config_.OnPeerLost(Now(), peer), false);
  Execute(roster_.OnPeerLost(Now(), peer), true);
}

void Replication::OnStoreConfig(Revision revision, std::string document) {
  Execute(config_.OnStoreDocument(Now(), revision, std::move(document)), false);
}

void Replication::OnStoreRoster(Revision revision, std::string document) {
  Execute(roster_.OnStoreDocument(Now(), revision, std::move(document)), true);
}

void Replication::OnStoreContact() {
  config_.OnStoreContact(Now());
  roster_.OnStoreContact(Now());
  AdvertiseRevisions();
}

void Replication::Execute(const ReplicaActions& actions, bool is_roster) {
  for (const ReplicaAction& action : actions) {
    if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
      Install(*installed, is_roster);
      continue;
    }
    const auto& send = std::get<SendToPeer>(action);
    std::visit(
        [&](const auto& message) {
          hooks_.send(send.to, is_roster ? ToRosterMessage(message) : Message(message));
        },
        send.message);
  }
}

void Replication::Install(const DocumentInstalled& installed, bool is_roster) {
  AdvertiseRevisions();
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
  Execute(config_.OnRevisionSeen(Now(), seen.endpoint, seen.config_revision, seen.store_contact),
          false);
  Execute(roster_.OnRevisionSeen(Now(), seen.endpoint, seen.roster_revision, seen.store_contact),
          true);
  AdvertiseRevisions();
}

// Coalesces changes that arrive together into one update: a joining node receives all members at
// once, and an update for each of 7,600 blocked the control loop for 29 s.
void Replication::SchedulePeerUpdate() {
  if (std::exchange(peer_update_pending_, true)) return;
  peer_update_timer_.expires_after(Duration::zero());
  peer_update_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) UpdatePeers();
  });
}

void Replication::UpdatePeers() {
  peer_update_pending_ = false;
  std::vector<Member> live = membership_.state().LiveMembers();
  std::vector<Endpoint> peers;
  peers.reserve(live.size());
  for (const Member& member : live) peers.push_back(member.endpoint);
  config_.SetPeers(peers);
  roster_.SetPeers(std::move(peers));
  is_reader_ = IsConfigReader(membership_.state().self(), live);
}

void Replication::AdvertiseRevisions() {
  membership_.SetRevisions(config_.revision(), roster_.revision(), config_.store_contact());
}

void Replication::ArmTimer() {
  timer_.expires_after(kTimerPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    TimePoint now = Now();
    if (now >= config_.NextTimer()) Execute(config_.OnTimer(now), false);
    if (now >= roster_.NextTimer()) Execute(roster_.OnTimer(now), true);
    ArmTimer();
  });
}

}  // namespace damaskroute
