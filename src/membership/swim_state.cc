#include "damaskroute/membership/swim_state.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "damaskroute/peer/datagram_codec.h"

namespace damaskroute {
namespace {

// Maximum number of concurrent relayed probes; each expires after one probe period.
constexpr std::size_t kMaxRelayed = 256;

// Number of members that are notified directly when this node leaves; they spread the update.
constexpr std::size_t kLeaveFanOut = 8;

// Number of seeds that are contacted at the same time.
constexpr std::size_t kJoinFanOut = 3;

constexpr std::chrono::seconds kForgetInterval{10};

}  // namespace

SwimState::SwimState(Member self, SwimOptions options, std::uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed), next_probe_id_(random_.Next()) {}

SwimActions SwimState::Start(TimePoint now, std::vector<Endpoint> seeds) {
  SwimActions actions;
  running_ = true;
  seeds_ = std::move(seeds);
  std::erase(seeds_, self_.endpoint);
  // Random phases keep nodes that start together from probing in lockstep.
  period_end_ = now + options_.probe_period * static_cast<int>(random_.Below(1000)) / 1000;
  next_dead_probe_ = now + options_.dead_probe_period;
  next_sync_ = now + options_.sync_period * static_cast<int>(random_.Below(1000)) / 1000;
  next_forget_ = now + kForgetInterval;
  next_join_ = now;
  Join(now, actions);
  return actions;
}

TimePoint SwimState::NextTimer() const {
  if (!running_) return TimePoint::max();
  TimePoint next = period_end_;
  if (probe_.has_value() && !probe_->indirect_probes_sent) next = std::min(next, probe_->ack_due);
  if (!suspicions_.empty()) next = std::min(next, suspicions_.begin()->first);
  return next;
}

void SwimState::RestartTimeoutsAfterPause(TimePoint now) {
  if (!running_) return;
  Duration late = now - NextTimer();
  if (late <= options_.pause_threshold) return;
  // Acks and refutations that arrived during the pause are still unread, so no timeout is valid.
  period_end_ = now + options_.ack_timeout;
  probe_.reset();
  relayed_.clear();
  std::set<std::pair<TimePoint, NodeName>> restarted;
  for (const auto& [deadline, node] : suspicions_) {
    entries_.at(node).deadline = now + options_.suspicion_timeout;
    restarted.emplace(now + options_.suspicion_timeout, node);
  }
  suspicions_ = std::move(restarted);
}

SwimActions SwimState::OnTimer(TimePoint now) {
  SwimActions actions;
  if (!running_) return actions;
  RestartTimeoutsAfterPause(now);
  if (probe_.has_value() && !probe_->indirect_probes_sent && now >= probe_->ack_due) {
    SendIndirectProbes(now, actions);
  }
  ExpireSuspicions(now, actions);
  if (now >= period_end_) StartPeriod(now, actions);
  return actions;
}

void SwimState::StartPeriod(TimePoint now, SwimActions& actions) {
  std::optional<PeriodProbe> missed = std::exchange(probe_, std::nullopt);
  period_end_ = now + options_.probe_period;
  std::erase_if(relayed_, [&](const RelayedProbe& relayed) { return relayed.expires <= now; });
  if (now >= next_forget_) ForgetExpired(now, actions);
  if (now >= next_join_) Join(now, actions);
  if (now >= next_sync_) Sync(now, actions);

  const Member* target = nullptr;
  auto entry = missed.has_value() ? entries_.find(missed->target) : entries_.end();
  if (entry != entries_.end() && entry->second.member.IsLive()) {
    if (entry->second.member.state == MemberState::kAlive) {
      Member suspect = entry->second.member;
      suspect.state = MemberState::kSuspect;
      Merge(now, suspect, actions);
    }
    // An additional probe notifies the suspect of the suspicion at once.
    Send(now, entry->second.member.endpoint, DatagramKind::kProbe, next_probe_id_++, {},
         &entry->second.member, actions);
  }
  target = NextTarget();
  if (target != nullptr) {
    probe_ = PeriodProbe{target->node, next_probe_id_++, now + options_.ack_timeout, false};
    Send(now, target->endpoint, DatagramKind::kProbe, probe_->probe_id, {}, target, actions);
  }
  ProbeDead(now, actions);
}

const Member* SwimState::NextTarget() {
  // Each round probes every member once in random order, which bounds the time between two probes
  // of a member.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!order_.empty()) {
      NodeName node = std::move(order_.back());
      order_.pop_back();
      auto it = entries_.find(node);
      if (it != entries_.end() && it->second.member.IsLive()) return &it->second.member;
    }
    order_ = live_;
    for (std::size_t i = order_.size(); i > 1; --i) {
      std::swap(order_[i - 1], order_[random_.Below(i)]);
    }
  }
  return nullptr;
}

void SwimState::ProbeDead(TimePoint now, SwimActions& actions) {
  std::vector<const Member*> dead;
  bool partition = static_cast<double>(gone_.size()) >
                   options_.partition_fraction * static_cast<double>(entries_.size());
  if (gone_.empty() || (!partition && now < next_dead_probe_)) return;
  next_dead_probe_ = now + options_.dead_probe_period;
  for (std::size_t i = 0; i < (partition ? options_.partition_probes : 1); ++i) {
    const Member& member = entries_.at(gone_[random_.Below(gone_.size())]).member;
    if (member.state != MemberState::kDead) continue;
    Send(now, member.endpoint, DatagramKind::kProbe, next_probe_id_++, {}, &member, actions);
  }
}

void SwimState::SendIndirectProbes(TimePoint now, SwimActions& actions) {
  probe_->indirect_probes_sent = true;
  auto target = entries_.find(probe_->target);
  if (target == entries_.end() || live_.size() < 2) return;
  std::vector<NodeName> chosen;
  for (std::size_t attempt = 0;
       attempt < 4 * options_.indirect_probes && chosen.size() < options_.indirect_probes;
       ++attempt) {
    const NodeName& node = live_[random_.Below(live_.size())];
    if (node == probe_->target || std::find(chosen.begin(), chosen.end(), node) != chosen.end()) {
      continue;
    }
    chosen.push_back(node);
    Send(now, entries_.at(node).member.endpoint, DatagramKind::kIndirectProbe, probe_->probe_id,
         target->second.member.endpoint, nullptr, actions);
  }
}

void SwimState::Join(TimePoint now, SwimActions& actions) {
  if ((joined_ && !live_.empty()) || seeds_.empty()) return;
  next_join_ = now + options_.join_period;
  for (std::size_t i = 0; i < std::min(kJoinFanOut, seeds_.size()); ++i) {
    std::swap(seeds_[i], seeds_[i + random_.Below(seeds_.size() - i)]);
    actions.push_back(PullMembers{seeds_[i]});
  }
}

void SwimState::Sync(TimePoint now, SwimActions& actions) {
  next_sync_ = now + options_.sync_period;
  // The peer is a seed from time to time, so that groups that do not know of each other merge.
  std::size_t choices = live_.size() + (seeds_.empty() ? 0 : 1 + live_.size() / 8);
  if (choices == 0) return;
  std::uint64_t choice = random_.Below(choices);
  actions.push_back(PullMembers{choice < live_.size() ? entries_.at(live_[choice]).member.endpoint
                                                      : seeds_[random_.Below(seeds_.size())]});
}

void SwimState::ExpireSuspicions(TimePoint now, SwimActions& actions) {
  while (!suspicions_.empty() && suspicions_.begin()->first <= now) {
    Member dead = entries_.at(suspicions_.begin()->second).member;
    dead.state = MemberState::kDead;
    Merge(now, dead, actions);
  }
}

void SwimState::ForgetExpired(TimePoint now, SwimActions& actions) {
  next_forget_ = now + kForgetInterval;
  std::vector<NodeName> expired;
  for (const NodeName& node : gone_) {
    if (entries_.at(node).deadline <= now) expired.push_back(node);
  }
  for (const NodeName& node : expired) Remove(node, actions);
}

void SwimState::Remove(const NodeName& node, SwimActions& actions) {
  RemoveFromList(entries_.at(node));
  entries_.erase(node);
  updates_.Remove(node);
  actions.push_back(MemberForgotten{node});
}

SwimActions SwimState::OnDatagram(TimePoint now, const PeerDatagram& datagram) {
  SwimActions actions;
  if (!running_ || datagram.sender.node == self_.node) return actions;
  RestartTimeoutsAfterPause(now);
  Merge(now, datagram.sender, actions);
  for (const Member& update : datagram.updates) Merge(now, update, actions);
  auto sender = entries_.find(datagram.sender.node);
  const Member* known = sender == entries_.end() ? nullptr : &sender->second.member;
  switch (datagram.kind) {
    case DatagramKind::kProbe:
      Send(now, datagram.sender.endpoint, DatagramKind::kAck, datagram.probe_id, {}, known,
           actions);
      break;
    case DatagramKind::kIndirectProbe:
      if (relayed_.size() >= kMaxRelayed) break;
      relayed_.push_back({next_probe_id_, datagram.sender.endpoint, datagram.probe_id,
                          now + options_.probe_period});
      Send(now, datagram.target, DatagramKind::kProbe, next_probe_id_++, {}, nullptr, actions);
      break;
    case DatagramKind::kAck:
      if (probe_.has_value() && probe_->probe_id == datagram.probe_id) probe_.reset();
      for (auto it = relayed_.begin(); it != relayed_.end(); ++it) {
        if (it->probe_id != datagram.probe_id) continue;
        Send(now, it->requester, DatagramKind::kAck, it->requester_probe_id, {}, nullptr, actions);
        relayed_.erase(it);
        break;
      }
      break;
  }
  if (known != nullptr && known->IsLive()) {
    actions.push_back(RevisionsSeen{datagram.sender.node, datagram.sender.endpoint,
                                    datagram.config_revision, datagram.roster_revision,
                                    now - datagram.store_age});
  }
  return actions;
}

SwimActions SwimState::OnMembersPull(TimePoint now, const Member& sender) {
  SwimActions actions;
  RestartTimeoutsAfterPause(now);
  if (running_) Merge(now, sender, actions);
  return actions;
}

SwimActions SwimState::OnMembersData(TimePoint now, const std::vector<Member>& members) {
  SwimActions actions;
  if (!running_) return actions;
  RestartTimeoutsAfterPause(now);
  // The other members already know the content of the first table; only later changes are
  // disseminated.
  bool first = !std::exchange(joined_, true);
  for (const Member& member : members) {
    auto it = entries_.find(member.node);
    bool same_generation = it != entries_.end() &&
                           it->second.member.incarnation == member.incarnation &&
                           it->second.member.refutation == member.refutation;
    // After a partition, the tables of each side list the members of the other side as dead.
    // Adopting that would declare members dead that this node can reach; its own probes decide.
    bool indirect_failure_report = same_generation && (member.state == MemberState::kSuspect ||
                                                       member.state == MemberState::kDead);
    if (indirect_failure_report) continue;
    bool unknown = it == entries_.end();
    Merge(now, member, actions);
    if (first && unknown) updates_.Remove(member.node);
  }
  return actions;
}

SwimActions SwimState::Leave(TimePoint now) {
  SwimActions actions;
  if (!running_) return actions;
  RestartTimeoutsAfterPause(now);
  running_ = false;
  self_.state = MemberState::kLeft;
  for (std::size_t i = 0; i < std::min(kLeaveFanOut, live_.size()); ++i) {
    std::swap(live_[i], live_[i + random_.Below(live_.size() - i)]);
    Send(now, entries_.at(live_[i]).member.endpoint, DatagramKind::kProbe, next_probe_id_++, {},
         nullptr, actions);
  }
  for (std::size_t i = 0; i < live_.size(); ++i) entries_.at(live_[i]).position = i;
  return actions;
}

void SwimState::SetRevisions(Revision config_revision, Revision roster_revision,
                             TimePoint store_contact) {
  config_revision_ = config_revision;
  roster_revision_ = roster_revision;
  store_contact_ = store_contact;
}

const Member* SwimState::Find(const NodeName& node) const {
  auto it = entries_.find(node);
  return it == entries_.end() ? nullptr : &it->second.member;
}

std::vector<Member> SwimState::LiveMembers() const {
  std::vector<Member> members;
  members.reserve(live_.size());
  for (const NodeName& node : live_) members.push_back(entries_.at(node).member);
  return members;
}

std::vector<Member> SwimState::FullState() const {
  std::vector<Member> members{self_};
  members.reserve(entries_.size() + 1);
  for (const auto& [node, entry] : entries_) members.push_back(entry.member);
  return members;
}

std::chrono::milliseconds SwimState::StoreAge(TimePoint now) const {
  return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(now - store_contact_),
                    std::chrono::milliseconds(0), kMaxStoreAge);
}

std::size_t SwimState::RetransmitLimit() const {
  return options_.retransmit_factor * static_cast<std::size_t>(std::bit_width(LiveCount()));
}

void SwimState::Send(TimePoint now, const Endpoint& to, DatagramKind kind, std::uint64_t probe_id,
                     const Endpoint& target, const Member* about, SwimActions& actions) {
  PeerDatagram datagram{kind,   next_sequence_++, probe_id,         self_,
                        target, config_revision_, roster_revision_, StoreAge(now),
                        {}};
  std::size_t size = DatagramSize(datagram);
  // A member that is considered suspect or dead is always notified, so that it can refute this.
  if (about != nullptr && about->state != MemberState::kAlive) {
    datagram.updates.push_back(*about);
    size += UpdateSize(*about);
  }
  updates_.Select(RetransmitLimit(), [&](const NodeName& node) {
    const Member& member = entries_.at(node).member;
    if (size + UpdateSize(member) > kMaxDatagramSize) return false;
    size += UpdateSize(member);
    datagram.updates.push_back(member);
    return true;
  });
  actions.push_back(SendDatagram{to, std::move(datagram)});
}

void SwimState::MergeSelf(const Member& update, SwimActions& actions) {
  if (update.incarnation > self_.incarnation) {
    actions.push_back(SelfSuperseded{update.incarnation});
    return;
  }
  if (!running_ || !Supersedes(update, self_)) return;
  self_.refutation = update.refutation + 1;
}

void SwimState::Merge(TimePoint now, const Member& update, SwimActions& actions) {
  if (update.node == self_.node) return MergeSelf(update, actions);
  auto it = entries_.find(update.node);
  if (it == entries_.end()) {
    if ((update.IsLive() ? live_ : gone_).size() >= options_.max_members) return;
    it = entries_.emplace(update.node, Entry{}).first;
    it->second.member = update;
    AddToList(it->second);
    SetState(now, it->second, update, actions);
  } else if (Supersedes(update, it->second.member)) {
    SetState(now, it->second, update, actions);
  }
}

void SwimState::SetState(TimePoint now, Entry& entry, const Member& update, SwimActions& actions) {
  suspicions_.erase({entry.deadline, update.node});
  RemoveFromList(entry);
  entry.member = update;
  AddToList(entry);
  switch (update.state) {
    case MemberState::kAlive:
      break;
    case MemberState::kSuspect:
      entry.deadline = now + options_.suspicion_timeout;
      suspicions_.emplace(entry.deadline, update.node);
      break;
    case MemberState::kDead:
      entry.deadline = now + options_.dead_retention;
      break;
    case MemberState::kLeft:
      entry.deadline = now + options_.left_retention;
      break;
  }
  updates_.Add(update.node);
  actions.push_back(MemberChanged{update});
  if (gone_.size() > options_.max_members) Remove(NodeName(gone_.front()), actions);
}

void SwimState::AddToList(Entry& entry) {
  std::vector<NodeName>& list = entry.member.IsLive() ? live_ : gone_;
  entry.position = list.size();
  list.push_back(entry.member.node);
}

void SwimState::RemoveFromList(const Entry& entry) {
  std::vector<NodeName>& list = entry.member.IsLive() ? live_ : gone_;
  entries_.at(list.back()).position = entry.position;
  std::swap(list[entry.position], list.back());
  list.pop_back();
}

}  // namespace damaskroute
